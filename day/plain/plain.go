// Package plain is the plainest policy, for comparisons on played days: a call goes direct if the group has a circuit,
// else it is refused. It keeps the rules and learns nothing.
package plain

import (
	"time"

	"github.com/umbergauge/umbergauge/brain"
	"github.com/umbergauge/umbergauge/controller"
)

type call struct {
	due  time.Duration
	sent bool
}

type exchange struct {
	addr   string
	health brain.Health
	free   float64
}

type policy struct {
	exchanges map[int]*exchange
	calls     map[uint64]*call
}

// New makes the policy.
func New(brain.Config) (controller.Module, error) {
	return &policy{exchanges: map[int]*exchange{}, calls: map[uint64]*call{}}, nil
}

func (p *policy) View(out []brain.View) []brain.View { return out }

func (p *policy) Handle(now time.Duration, ev brain.Event, out []brain.Action) []brain.Action {
	switch ev := ev.(type) {
	case brain.List:
		for _, e := range ev.Entries {
			x := p.exchanges[e.PointCode]
			if x == nil {
				x = &exchange{}
				p.exchanges[e.PointCode] = x
			}
			x.addr, x.health = e.Address, e.Health
		}
	case brain.Status:
		for _, x := range p.exchanges {
			if x.addr == ev.Exchange && ev.Report.Free >= 0 {
				x.free = ev.Report.Free
			}
		}
	case brain.Offered:
		x := p.exchanges[ev.Destination]
		if x == nil || x.health != brain.Ready || x.free < 1 {
			return append(out, brain.Refuse{Call: ev.Call})
		}
		x.free--
		p.calls[ev.Call] = &call{due: ev.Due}
		return append(out, brain.SetUp{Call: ev.Call, Exchange: x.addr, TimeOut: ev.Due - now})
	case brain.Returned:
		k := p.calls[ev.Call]
		delete(p.calls, ev.Call)
		if k == nil || ev.Final {
			return out
		}
		switch ev.Cause {
		case brain.TimedOut, brain.Reset, brain.Cancelled, brain.Failed:
			return append(out, brain.Fail{Call: ev.Call})
		}
		return append(out, brain.Refuse{Call: ev.Call})
	case brain.Established:
		delete(p.calls, ev.Call)
	case brain.Released:
	}
	return out
}
