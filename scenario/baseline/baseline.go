// Package baseline is the plainest policy, for comparisons on played days: a call goes direct if the group has a circuit,
// else it is refused. It keeps the rules and learns nothing.
package baseline

import (
	"time"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/policy"
)

type call struct {
	due  time.Duration
	sent bool
}

type exchange struct {
	addr   string
	health policy.Health
	free   float64
}

type directOnly struct {
	exchanges map[int]*exchange
	calls     map[uint64]*call
}

// New makes the policy.
func New(policy.Config) (controller.Engine, error) {
	return &directOnly{exchanges: map[int]*exchange{}, calls: map[uint64]*call{}}, nil
}

func (p *directOnly) View(out []policy.View) []policy.View { return out }

func (p *directOnly) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	switch ev := ev.(type) {
	case policy.List:
		for _, e := range ev.Entries {
			x := p.exchanges[e.PointCode]
			if x == nil {
				x = &exchange{}
				p.exchanges[e.PointCode] = x
			}
			x.addr, x.health = e.Address, e.Health
		}
	case policy.Status:
		for _, x := range p.exchanges {
			if x.addr == ev.Exchange && ev.Report.Free >= 0 {
				x.free = ev.Report.Free
			}
		}
	case policy.Offered:
		x := p.exchanges[ev.Destination]
		if x == nil || x.health != policy.Ready || x.free < 1 {
			return append(out, policy.Refuse{Call: ev.Call})
		}
		x.free--
		p.calls[ev.Call] = &call{due: ev.Due}
		return append(out, policy.SetUp{Call: ev.Call, Exchange: x.addr, TimeOut: ev.Due - now})
	case policy.AttemptEnded:
		k := p.calls[ev.Call]
		delete(p.calls, ev.Call)
		if k == nil || ev.Final {
			return out
		}
		switch ev.Cause {
		case policy.TimedOut, policy.Reset, policy.Cancelled, policy.Failed:
			return append(out, policy.Fail{Call: ev.Call})
		}
		return append(out, policy.Refuse{Call: ev.Call})
	case policy.Established:
		delete(p.calls, ev.Call)
	case policy.CallerReleased:
	}
	return out
}
