package leader

// RenewalChecks returns the number of rounds in the present term and the number of workers that
// they checked for due renewals.
func (l *Leader) RenewalChecks() (rounds, checks int64) {
	stats := &l.current.Load().loopStats
	return stats.rounds.Load(), stats.checks.Load()
}
