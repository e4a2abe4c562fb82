package controller

import (
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
)

// A call waits for its hooks at two places: before the module is told of it, and before the module is told that a REL has
// ended an attempt. It waits no longer than the deadline, and then goes on as if there were no hooks, or is refused where
// they say so. What they ask for cannot touch the rules: nothing is out for the call while it waits, the module has every
// word after them, and the guard, the grace and the cold budget are its own.

// view is what hooks see of a call.
func (c *Core) view(k *call) script.Call {
	v := script.Call{Called: k.iam.Called.String(), Calling: k.iam.Calling.String(), Class: c.cfg.Classes[k.class].Name,
		Category: int(k.iam.Category), Transit: k.from != nil, To: int(k.dest), Attempts: k.attempts, Age: c.now - k.arrived}
	if k.tenant < len(c.cfg.Tenants) {
		v.Tenant = c.cfg.Tenants[k.tenant]
	}
	return v
}

// ask puts a question to the hooks of a call's set.
func (c *Core) ask(k *call, what asking, kind string, ev script.Event) {
	k.asking = what
	k.askSeq++
	c.Counters.HookAsked++
	if !c.cfg.Hooks.Submit(HookRequest{Call: k.id, Seq: k.askSeq, Set: k.set, Kind: kind, Event: ev}) {
		c.Counters.HookBusy++
		c.unadvised(k)
		return
	}
	k.askTime = c.wheel.Set(c.now+c.cfg.HookDeadline, alarm{kind: hookTimer, id: k.id, seq: k.askSeq})
}

// hooksLate is called when a question's time is over.
func (c *Core) hooksLate(id uint64, seq uint32) {
	if k := c.calls[id]; k != nil && k.asking != askNone && k.askSeq == seq {
		c.Counters.HookLate++
		c.unadvised(k)
	}
}

// unadvised goes on with a call whose hooks have not answered.
func (c *Core) unadvised(k *call) {
	kind := script.Arrival
	if k.asking == askEnd {
		kind = script.AttemptEnd
	}
	k.set.CountTimeout(kind)
	a := hooks.Advice{}
	if k.set.RefusesOnTimeout(kind) {
		a.Refuse = int(isup.CauseCongestion)
	}
	c.advised(k, &a)
}

// Advise brings the hooks' answer to a question. One that comes too late is dropped.
func (c *Core) Advise(now time.Duration, id uint64, seq uint32, a *hooks.Advice) {
	c.now = now
	k := c.calls[id]
	if k == nil || k.asking == askNone || k.askSeq != seq {
		return
	}
	c.wheel.Stop(k.askTime)
	c.advised(k, a)
}

// advised goes on with a call as its hooks, or nobody, have said.
func (c *Core) advised(k *call, a *hooks.Advice) {
	what := k.asking
	k.asking = askNone
	k.tags = append(k.tags, a.Tags...)
	if what == askEnd {
		cause := k.cause
		if a.TreatAs != 0 && script.Treatable(int64(a.TreatAs)) {
			cause = isup.Cause(a.TreatAs)
		}
		c.attemptEnded(k, cause)
		return
	}
	if a.Refuse > 0 && a.Refuse < 128 {
		c.Counters.HookRefused++
		c.refuse(k, isup.Cause(a.Refuse))
		return
	}
	if i := slices.IndexFunc(c.cfg.Classes, func(x Class) bool { return x.Name == a.Class }); i >= 0 {
		k.class = i
	}
	if i := slices.Index(c.cfg.Tenants, a.Tenant); i >= 0 && a.Tenant != "" {
		k.tenant = i
	}
	if a.Rewrite != "" {
		if n, err := isup.ParseNumber(k.iam.Called.Nature, a.Rewrite); err == nil {
			k.iam.Called = n
		}
	}
	dest, cause := c.destination(k.iam.Called)
	if cause != 0 {
		c.refuse(k, cause)
		return
	}
	k.dest = dest
	c.enter(k, policy.Offered{AdvisedTandem: -1, Excluded: a.Exclude})
}

// refuse is the final answer of a call that the module has not been told of.
func (c *Core) refuse(k *call, cause isup.Cause) {
	c.answerNo(k, cause, isup.LocationNetwork)
	c.close(k, Refused, cause)
}
