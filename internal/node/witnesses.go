package node

import (
	"context"
	"time"
)

// witnesses implements leader.Witnesses with the member of the election, which is created after the leader.
type witnesses struct{ n *Node }

// Choose implements leader.Witnesses.
func (w witnesses) Choose(current []string) []string { return w.n.member.ChooseWitnesses(current) }

// Confirm implements leader.Witnesses.
func (w witnesses) Confirm(ctx context.Context, witness string, epoch int64) bool {
	return w.n.member.ConfirmedBy(ctx, witness, epoch)
}

// LastConfirmed implements leader.Witnesses.
func (w witnesses) LastConfirmed(ctx context.Context, witness string, epoch, next int64) (time.Duration, bool) {
	return w.n.member.LastConfirmed(ctx, witness, epoch, next)
}
