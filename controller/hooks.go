package controller

import (
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
)

// A call waits for its hooks at two places: before it is offered to the policy engine, and before the engine is notified
// that a REL has ended an attempt. At the deadline it proceeds as if there were no hooks, or on arrival is refused if a hook
// of the set declares @failure(refuse). Hooks cannot break the rules: no attempt is outstanding while the call waits, and
// the policy engine alone then decides on attempts, the guard time, the drain grace and the cold budget.

// scriptCall returns the properties of a call that hooks can read.
func (c *Core) scriptCall(call *openCall) script.Call {
	view := script.Call{Called: call.iam.Called.String(), Calling: call.iam.Calling.String(), Class: c.cfg.Classes[call.class].Name,
		Category: int(call.iam.Category), Transit: call.inExchange != nil, To: int(call.destination), Attempts: call.attempts, Age: c.now - call.arrivedAt}
	if call.tenant < len(c.cfg.Tenants) {
		view.Tenant = c.cfg.Tenants[call.tenant]
	}
	return view
}

// askHooks submits an event to the hooks of a call's set and starts the deadline.
func (c *Core) askHooks(call *openCall, wait hookWait, kind string, event script.Event) {
	call.hookWait = wait
	call.hookSeq++
	c.Counters.HookAsked++
	if !c.cfg.Hooks.Submit(HookRequest{Call: call.id, Seq: call.hookSeq, Set: call.hookSet, Kind: kind, Event: event}) {
		c.Counters.HookBusy++
		c.proceedWithoutHooks(call)
		return
	}
	call.hookTimer = c.wheel.Set(c.now+c.cfg.HookDeadline, timerEvent{kind: timerHooks, id: call.id, seq: call.hookSeq})
}

// hooksTimedOut handles the deadline of a hook request.
func (c *Core) hooksTimedOut(id uint64, seq uint32) {
	if call := c.calls[id]; call != nil && call.hookWait != hookWaitNone && call.hookSeq == seq {
		c.Counters.HookLate++
		c.proceedWithoutHooks(call)
	}
}

// proceedWithoutHooks continues a call whose hooks were too busy or did not answer in time. On arrival the call is refused
// if a hook declares @failure(refuse).
func (c *Core) proceedWithoutHooks(call *openCall) {
	kind := script.Arrival
	if call.hookWait == hookWaitAttemptEnd {
		kind = script.AttemptEnd
	}
	call.hookSet.CountTimeout(kind)
	advice := hooks.Advice{}
	if call.hookSet.RefusesOnTimeout(kind) {
		advice.Refuse = int(isup.CauseCongestion)
	}
	c.applyAdvice(call, &advice)
}

// Advise applies the hooks' result for a request. A result after the deadline is dropped.
func (c *Core) Advise(now time.Duration, id uint64, seq uint32, advice *hooks.Advice) {
	c.now = now
	call := c.calls[id]
	if call == nil || call.hookWait == hookWaitNone || call.hookSeq != seq {
		return
	}
	c.wheel.Stop(call.hookTimer)
	c.applyAdvice(call, advice)
}

// applyAdvice continues a call as advised by its hooks; empty advice changes nothing.
func (c *Core) applyAdvice(call *openCall, advice *hooks.Advice) {
	waitedFor := call.hookWait
	call.hookWait = hookWaitNone
	call.tags = append(call.tags, advice.Tags...)
	if waitedFor == hookWaitAttemptEnd {
		cause := call.cause
		if advice.TreatAs != 0 && script.ValidTreatAs(int64(advice.TreatAs)) {
			cause = isup.Cause(advice.TreatAs)
		}
		c.attemptReleased(call, cause)
		return
	}
	if advice.Refuse > 0 && advice.Refuse < 128 {
		c.Counters.HookRefused++
		c.refuseBeforeOffer(call, isup.Cause(advice.Refuse))
		return
	}
	if i := slices.IndexFunc(c.cfg.Classes, func(candidate Class) bool { return candidate.Name == advice.Class }); i >= 0 {
		call.class = i
	}
	if i := slices.Index(c.cfg.Tenants, advice.Tenant); i >= 0 && advice.Tenant != "" {
		call.tenant = i
	}
	if advice.Rewrite != "" {
		if number, err := isup.ParseNumber(call.iam.Called.Nature, advice.Rewrite); err == nil {
			call.iam.Called = number
		}
	}
	destination, cause := c.lookUpDestination(call.iam.Called)
	if cause != 0 {
		c.refuseBeforeOffer(call, cause)
		return
	}
	call.destination = destination
	c.offerToEngine(call, policy.Offered{AdvisedTandem: -1, Excluded: advice.Exclude})
}

// refuseBeforeOffer refuses a call that has not been offered to the policy engine.
func (c *Core) refuseBeforeOffer(call *openCall, cause isup.Cause) {
	c.releaseTowardsCaller(call, cause, isup.LocationNetwork)
	c.closeCall(call, Refused, cause)
}
