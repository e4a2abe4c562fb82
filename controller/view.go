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

// GroupView is what operators see of a trunk group.
type GroupView struct {
	Far                                      uint32
	Free, Size                               int
	Outgoing, Incoming, Releasing, Resetting int
	InSync                                   bool
	DualSeizures, Resets, Leaks              int
}

// Groups are all trunk groups, in the order of the settings.
func (c *Core) Groups() []GroupView {
	var out []GroupView
	for _, f := range c.fars {
		if g := f.group; g != nil {
			out = append(out, GroupView{Far: f.PointCode, Free: g.Free(), Size: g.Size(), Outgoing: g.Count(trunk.Outgoing),
				Incoming: g.Count(trunk.Incoming), Releasing: g.Count(trunk.Releasing), Resetting: g.Count(trunk.Resetting),
				InSync: g.InSync(), DualSeizures: g.DualSeizures, Resets: g.Resets, Leaks: g.Leaks})
		}
	}
	return out
}

// Ready tells whether the own switch is reached and every group is in agreement with its far end.
func (c *Core) Ready() bool {
	for _, f := range c.fars {
		if f.group != nil && !f.group.InSync() {
			return false
		}
	}
	return c.own != nil
}

// Views are the module's views of the exchanges, the own one first.
func (c *Core) Views() []policy.View { return c.module.View(nil) }

// CallView is what operators see of a call.
type CallView struct {
	ID       uint64
	State    string
	Called   isup.Number
	To, Via  uint32
	Attempts int
	Age      time.Duration
}

// Calls are the oldest open calls, n at most, and the number of all.
func (c *Core) Calls(n int) ([]CallView, int) {
	var out []CallView
	for _, k := range c.calls {
		v := CallView{ID: k.id, Called: k.iam.Called, To: k.dest, Via: k.via, Attempts: k.attempts, Age: c.now - k.arrived}
		switch {
		case k.phase == standing:
			v.State = "standing"
		case k.rings:
			v.State = "ringing"
		case k.to != nil:
			v.State = "setting"
		default:
			v.State = "held"
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b CallView) int { return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID)) })
	return out[:min(n, len(out))], len(c.calls)
}

// Block blocks or unblocks the trunk group to an exchange: calls on it go on, no new one takes it from either end.
func (c *Core) Block(now time.Duration, pc uint32, on bool) error {
	c.now = now
	f := c.byPC[pc]
	if f == nil || f.group == nil {
		return fmt.Errorf("there is no trunk group to exchange %d", pc)
	}
	f.group.Block(on)
	c.acts(f)
	return nil
}
