// Package baseline is the simplest routing policy, for comparison: a call is sent direct if its trunk group has a free
// circuit, else it is refused. It keeps the rules and adapts to nothing.
package baseline

import (
	"time"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/policy"
)

type call struct {
	deadline time.Duration
	sent     bool
}

type exchange struct {
	address string
	health  policy.Health
	free    float64
}

type directOnly struct {
	exchanges map[int]*exchange
	calls     map[uint64]*call
}

// New returns a baseline engine; it ignores the configuration.
func New(policy.Config) (controller.Engine, error) {
	return &directOnly{exchanges: map[int]*exchange{}, calls: map[uint64]*call{}}, nil
}

func (p *directOnly) View(views []policy.View) []policy.View { return views }

func (p *directOnly) Handle(now time.Duration, ev policy.Event, actions []policy.Action) []policy.Action {
	switch ev := ev.(type) {
	case policy.List:
		for _, entry := range ev.Entries {
			x := p.exchanges[entry.PointCode]
			if x == nil {
				x = &exchange{}
				p.exchanges[entry.PointCode] = x
			}
			x.address, x.health = entry.Address, entry.Health
		}
	case policy.Status:
		for _, x := range p.exchanges {
			if x.address == ev.Exchange && ev.Report.Free >= 0 {
				x.free = ev.Report.Free
			}
		}
	case policy.Offered:
		x := p.exchanges[ev.Destination]
		if x == nil || x.health != policy.Ready || x.free < 1 {
			return append(actions, policy.Refuse{Call: ev.Call})
		}
		x.free--
		p.calls[ev.Call] = &call{deadline: ev.Due}
		return append(actions, policy.SetUp{Call: ev.Call, Exchange: x.address, TimeOut: ev.Due - now})
	case policy.AttemptEnded:
		pendingCall := p.calls[ev.Call]
		delete(p.calls, ev.Call)
		if pendingCall == nil || ev.Final {
			return actions
		}
		switch ev.Cause {
		case policy.TimedOut, policy.Reset, policy.Cancelled, policy.Failed:
			return append(actions, policy.Fail{Call: ev.Call})
		}
		return append(actions, policy.Refuse{Call: ev.Call})
	case policy.Established:
		delete(p.calls, ev.Call)
	case policy.CallerReleased:
	}
	return actions
}
