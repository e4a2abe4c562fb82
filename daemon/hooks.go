package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
)

// hookRunner runs hooks outside the event loop: a bounded queue of jobs and a few workers. A hook cannot block a worker,
// because the number of its steps is limited.
type hookRunner struct {
	d        *Daemon
	jobs     chan hookJob
	registry hooks.Registry // owned by the event loop
}

// hookJob is one of three jobs: a hook request, the final hooks of a call, or a change of the list of exchanges.
type hookJob struct {
	request       controller.HookRequest // of a call that waits for the result
	shadow        *hooks.Set
	final         *controller.CallRecord // of a call that has ended; its log line is written after the final hooks
	listChange    *script.Event
	listChangeSet *hooks.Set // the set that handles listChange
}

func newHookRunner(d *Daemon) *hookRunner {
	return &hookRunner{d: d, jobs: make(chan hookJob, d.cfg.Hooks.Queue)}
}

// Live returns the set that new calls use.
func (h *hookRunner) Live() *hooks.Set { return h.registry.Live() }

// Submit queues a request; false: the queue is full.
func (h *hookRunner) Submit(r controller.HookRequest) bool {
	return h.post(hookJob{request: r, shadow: h.registry.Shadow()})
}

func (h *hookRunner) post(job hookJob) bool {
	select {
	case h.jobs <- job:
		return true
	default:
		return false
	}
}

// work runs jobs until ctx ends.
func (h *hookRunner) work(ctx context.Context) {
	r := hooks.NewRunner()
	for {
		select {
		case job := <-h.jobs:
			h.runJob(ctx, r, job)
		case <-ctx.Done():
			return
		}
	}
}

func (h *hookRunner) runJob(ctx context.Context, r *hooks.Runner, job hookJob) {
	defer func() { h.d.group.Recovered("hook", recover()) }()
	now := h.d.now()
	switch {
	case job.final != nil:
		var result hooks.Advice
		ev := h.d.finalEvent(job.final)
		r.Run(job.final.Set, script.Final, &ev, now, &result)
		h.logBreakers(&result)
		h.d.callLog.record(*job.final, &result)
	case job.listChange != nil:
		var result hooks.Advice
		r.Run(job.listChangeSet, script.ListChange, job.listChange, now, &result)
		h.logBreakers(&result)
		h.logFields(script.ListChange, &result)
	default:
		result := &hooks.Advice{}
		h.runRequest(r, job.request.Set, &job.request, now, result)
		select {
		case h.d.events <- event{kind: evAdvice, pc: job.request.Seq, id: job.request.Call, advice: result}:
		case <-ctx.Done():
			return
		}
		h.logBreakers(result)
		if job.shadow != nil {
			shadowResult := &hooks.Advice{}
			h.runRequest(r, job.shadow, &job.request, now, shadowResult)
			diff := hooks.Diff(result, shadowResult)
			select {
			case h.d.events <- event{kind: evFunc, fn: func() {
				if h.registry.Shadow() == job.shadow {
					h.registry.AddComparison(job.request.Kind, diff)
				}
			}}:
			case <-ctx.Done():
			}
		}
	}
}

func (h *hookRunner) runRequest(r *hooks.Runner, set *hooks.Set, request *controller.HookRequest, now time.Duration, advice *hooks.Advice) {
	r.Run(set, request.Kind, &request.Event, now, advice)
	if request.Kind == script.Arrival && advice.Refuse == 0 {
		ev := request.Event
		if advice.Class != "" {
			ev.S[2] = advice.Class
		}
		if advice.Tenant != "" {
			ev.S[3] = advice.Tenant
		}
		if advice.Rewrite != "" {
			ev.S[0] = advice.Rewrite
		}
		r.Run(set, script.Route, &ev, now, advice)
	}
}

// logBreakers logs the state changes of the hooks' circuit breakers and counts the hooks that failed.
func (h *hookRunner) logBreakers(advice *hooks.Advice) {
	for _, note := range advice.BreakerNotes {
		h.d.log.Warn().Msg("hook " + note)
	}
	if len(advice.Failed) > 0 {
		h.d.metrics.hookFailures.Add(float64(len(advice.Failed)))
	}
}

func (h *hookRunner) logFields(kind string, advice *hooks.Advice) {
	if len(advice.Logs) == 0 {
		return
	}
	entry := h.d.log.Info()
	for _, field := range advice.Logs {
		entry = entry.Str("x_"+field.Key, field.Value)
	}
	entry.Msg("hook " + kind)
}

// runPeriodic runs the "every" hooks that are due, about once a second.
func (h *hookRunner) runPeriodic(ctx context.Context) {
	r := hooks.NewRunner()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var set *hooks.Set
		var ev script.Event
		if h.d.onLoop(ctx, func() {
			if set = h.registry.Live(); set.Has(script.Every) {
				c := h.d.core.Counters
				ev = script.EveryEvent(h.d.core.Waiting(), h.d.core.OpenCalls(), c.Offered, c.Established, c.Refused, c.TimedOut)
			}
		}) != nil || !set.Has(script.Every) {
			continue
		}
		var advice hooks.Advice
		r.RunDue(set, &ev, h.d.now(), &advice)
		h.logBreakers(&advice)
		h.logFields(script.Every, &advice)
	}
}

// readFiles compiles files into a set and checks it against the examples; the set is not in use yet.
func (h *hookRunner) readFiles(files, examples []string, previous *hooks.Set) (*hooks.Set, error) {
	var src []hooks.Source
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		src = append(src, hooks.Source{Name: filepath.Base(f), Text: string(b)})
	}
	return h.compile(src, examples, previous)
}

func (h *hookRunner) compile(src []hooks.Source, examples []string, previous *hooks.Set) (*hooks.Set, error) {
	var names hooks.Names
	for _, c := range h.d.cfg.Classes {
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range h.d.cfg.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	set, err := hooks.Compile(src, names, previous)
	if err != nil {
		return nil, err
	}
	for _, f := range examples {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		parsed, err := hooks.ParseExamples(f, b)
		if err != nil {
			return nil, err
		}
		if err := set.Check(parsed); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
	}
	for _, warning := range set.Warnings() {
		h.d.log.Warn().Msg("script " + warning.Error())
	}
	return set, nil
}

// LoadHooks reads scripts and examples and makes the set the live one. On an error the old set stays live. With shadow the set
// runs beside the live one, for comparison only.
func (d *Daemon) LoadHooks(ctx context.Context, files, examples []string, shadow bool) error {
	var previous *hooks.Set
	var version int
	if err := d.onLoop(ctx, func() { previous, version = d.hooks.registry.Live(), d.hooks.registry.NextVersion() }); err != nil {
		return err
	}
	if shadow {
		previous = nil // a shadow does not share the live set's state
	}
	set, err := d.hooks.readFiles(files, examples, previous)
	if err != nil {
		return err
	}
	set.Version = version
	return d.onLoop(ctx, func() { d.applyHooks(set, shadow) })
}

// InstallHooks makes scripts held in memory the live set, before Run; scenarios use it.
func (d *Daemon) InstallHooks(src []hooks.Source) error {
	set, err := d.hooks.compile(src, nil, d.hooks.registry.Live())
	if err != nil {
		return err
	}
	d.hooks.registry.Activate(set)
	return nil
}

// SwapHooks replaces the live set with scripts held in memory, in one step of the event loop.
func (d *Daemon) SwapHooks(ctx context.Context, src []hooks.Source) error {
	var previous *hooks.Set
	if err := d.onLoop(ctx, func() { previous = d.hooks.registry.Live() }); err != nil {
		return err
	}
	set, err := d.hooks.compile(src, nil, previous)
	if err != nil {
		return err
	}
	return d.onLoop(ctx, func() { d.applyHooks(set, false) })
}

func (d *Daemon) applyHooks(set *hooks.Set, shadow bool) {
	if shadow {
		d.hooks.registry.SetShadow(set)
		d.log.Info().Stringer("set", set).Msg("hook scripts run as shadow")
		return
	}
	d.hooks.registry.Activate(set)
	d.log.Info().Stringer("set", set).Msg("hook scripts live")
}

// hooksCommand executes the control port's command "hooks".
func (d *Daemon) hooksCommand(ctx context.Context, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "load":
		return d.LoadHooks(ctx, d.cfg.Hooks.Files, d.cfg.Hooks.Examples, false)
	case len(args) == 1 && args[0] == "rollback":
		var err error
		if e := d.onLoop(ctx, func() { err = d.hooks.registry.RollBack() }); e != nil {
			return e
		}
		return err
	case len(args) == 2 && args[0] == "shadow" && args[1] == "off":
		return d.onLoop(ctx, func() { d.hooks.registry.SetShadow(nil) })
	case len(args) >= 2 && args[0] == "shadow":
		return d.LoadHooks(ctx, args[1:], nil, true)
	}
	return errors.New("hooks load, hooks rollback, hooks shadow FILE... and hooks shadow off can be")
}

func (d *Daemon) finalEvent(call *controller.CallRecord) script.Event {
	data := script.Call{Called: call.Called.String(), Calling: call.Calling.String(), Category: int(call.Category), Transit: call.Transit, To: int(call.To), Attempts: call.Attempts, Age: call.After}
	if call.Class < len(d.cfg.Classes) {
		data.Class = d.cfg.Classes[call.Class].Name
	}
	if call.Tenant < len(d.cfg.Tenants) {
		data.Tenant = d.cfg.Tenants[call.Tenant].Name
	}
	return script.FinalEvent(data, call.Outcome.String(), int(call.Cause), int(call.Via), call.After)
}

// ExchangeChanged runs the list_change hooks on a change of the list of exchanges.
func (p port) ExchangeChanged(entry policy.Entry, cold bool) {
	h := p.d.hooks
	if set := h.registry.Live(); set.Has(script.ListChange) {
		ev := script.ListEvent(entry.PointCode, [...]string{"ready", "draining", "gone"}[entry.Health], cold)
		if !h.post(hookJob{listChange: &ev, listChangeSet: set}) {
			set.CountTimeout(script.ListChange)
		}
	}
}
