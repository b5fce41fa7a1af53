package leader

// RenewalChecks returns how many rounds the present term has had, and how many workers they looked
// at to find the renewals that are due.
func (l *Leader) RenewalChecks() (rounds, checks int64) {
	p := &l.current.Load().loopStats
	return p.rounds.Load(), p.checks.Load()
}
