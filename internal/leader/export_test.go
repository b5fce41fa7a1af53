package leader

// Looks returns how many rounds the present term has had, and how many workers they looked
// at to find the renewals that are due.
func (l *Leader) Looks() (rounds, looks int64) {
	p := &l.current.Load().progress
	return p.rounds.Load(), p.looks.Load()
}
