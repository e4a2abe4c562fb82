package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/trunk"
)

// GroupView is the state of a trunk group as shown to operators.
type GroupView struct {
	Far                                      uint32
	Free, Size                               int
	Outgoing, Incoming, Releasing, Resetting int
	InSync                                   bool
	DualSeizures, Resets, Leaks              int
}

// Groups returns all trunk groups, in the order of the settings.
func (c *Core) Groups() []GroupView {
	var out []GroupView
	for _, far := range c.farExchanges {
		if g := far.group; g != nil {
			out = append(out, GroupView{Far: far.PointCode, Free: g.Free(), Size: g.Size(), Outgoing: g.Count(trunk.Outgoing),
				Incoming: g.Count(trunk.Incoming), Releasing: g.Count(trunk.Releasing), Resetting: g.Count(trunk.Resetting),
				InSync: g.InSync(), DualSeizures: g.DualSeizures, Resets: g.Resets, Leaks: g.Leaks})
		}
	}
	return out
}

// Ready reports whether the own switch is connected and every trunk group is in sync with its far end.
func (c *Core) Ready() bool {
	for _, far := range c.farExchanges {
		if far.group != nil && !far.group.InSync() {
			return false
		}
	}
	return c.ownSwitch != nil
}

// Views returns the policy engine's views of the exchanges, the own one first.
func (c *Core) Views() []policy.View { return c.engine.View(nil) }

// CallView is the state of a call as shown to operators.
type CallView struct {
	ID       uint64
	State    string
	Called   isup.Number
	To, Via  uint32
	Attempts int
	Age      time.Duration
}

// Calls returns the oldest open calls, at most n, and the number of all open calls.
func (c *Core) Calls(n int) ([]CallView, int) {
	var out []CallView
	for _, call := range c.calls {
		view := CallView{ID: call.id, Called: call.iam.Called, To: call.destination, Via: call.via, Attempts: call.attempts, Age: c.now - call.arrivedAt}
		switch {
		case call.phase == phaseEstablished:
			view.State = "standing"
		case call.alerting:
			view.State = "ringing"
		case call.outExchange != nil:
			view.State = "setting"
		default:
			view.State = "held"
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b CallView) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))], len(c.calls)
}

// Block blocks or unblocks the trunk group to an exchange: calls on it continue, and neither end seizes it for new ones.
func (c *Core) Block(now time.Duration, pc uint32, blocked bool) error {
	c.now = now
	far := c.byPC[pc]
	if far == nil || far.group == nil {
		return fmt.Errorf("there is no trunk group to exchange %d", pc)
	}
	far.group.Block(blocked)
	c.runGroupActions(far)
	return nil
}
