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

// hookRunner runs hooks beside the decision goroutine: a bounded queue of questions and a few workers. A worker cannot be
// held up by a hook, which ends within its steps.
type hookRunner struct {
	d    *Daemon
	jobs chan hookJob
	book hooks.Registry // of the decision goroutine
}

type hookJob struct {
	ask    controller.HookRequest // of a call that waits
	shadow *hooks.Set
	final  *controller.CallRecord // of one that has ended: its log line waits
	list   *script.Event
	set    *hooks.Set // of list
}

func newHookRunner(d *Daemon) *hookRunner {
	return &hookRunner{d: d, jobs: make(chan hookJob, d.cfg.Hooks.Queue)}
}

// Live is the set that new calls belong to.
func (h *hookRunner) Live() *hooks.Set { return h.book.Live() }

// Submit queues a question; false: the queue is full.
func (h *hookRunner) Submit(a controller.HookRequest) bool {
	return h.post(hookJob{ask: a, shadow: h.book.Shadow()})
}

func (h *hookRunner) post(j hookJob) bool {
	select {
	case h.jobs <- j:
		return true
	default:
		return false
	}
}

// work is one worker.
func (h *hookRunner) work(ctx context.Context) {
	r := hooks.NewRunner()
	for {
		select {
		case j := <-h.jobs:
			h.one(ctx, r, j)
		case <-ctx.Done():
			return
		}
	}
}

func (h *hookRunner) one(ctx context.Context, r *hooks.Runner, j hookJob) {
	defer func() { h.d.group.Recovered("hook", recover()) }()
	now := h.d.now()
	switch {
	case j.final != nil:
		var a hooks.Advice
		ev := h.d.finalEvent(j.final)
		r.Run(j.final.Set, script.Final, &ev, now, &a)
		h.noted(&a)
		h.d.odd.line(*j.final, &a)
	case j.list != nil:
		var a hooks.Advice
		r.Run(j.set, script.ListChange, j.list, now, &a)
		h.noted(&a)
		h.logged(script.ListChange, &a)
	default:
		a := &hooks.Advice{}
		h.answer(r, j.ask.Set, &j.ask, now, a)
		select {
		case h.d.events <- event{kind: evAdvice, pc: j.ask.Seq, id: j.ask.Call, advice: a}:
		case <-ctx.Done():
			return
		}
		h.noted(a)
		if j.shadow != nil {
			b := &hooks.Advice{}
			h.answer(r, j.shadow, &j.ask, now, b)
			diff := hooks.Diff(a, b)
			select {
			case h.d.events <- event{kind: evCall, call: func() {
				if h.book.Shadow() == j.shadow {
					h.book.AddComparison(j.ask.Kind, diff)
				}
			}}:
			case <-ctx.Done():
			}
		}
	}
}

func (h *hookRunner) answer(r *hooks.Runner, s *hooks.Set, q *controller.HookRequest, now time.Duration, a *hooks.Advice) {
	r.Run(s, q.Kind, &q.Event, now, a)
	if q.Kind == script.Arrival && a.Refuse == 0 {
		ev := q.Event
		if a.Class != "" {
			ev.S[2] = a.Class
		}
		if a.Tenant != "" {
			ev.S[3] = a.Tenant
		}
		if a.Rewrite != "" {
			ev.S[0] = a.Rewrite
		}
		r.Run(s, script.Route, &ev, now, a)
	}
}

// noted logs what breakers did.
func (h *hookRunner) noted(a *hooks.Advice) {
	for _, n := range a.Notes {
		h.d.log.Warn().Msg("hook " + n)
	}
	if len(a.Failed) > 0 {
		h.d.metrics.hookFailures.Add(float64(len(a.Failed)))
	}
}

func (h *hookRunner) logged(kind string, a *hooks.Advice) {
	if len(a.Logs) == 0 {
		return
	}
	l := h.d.log.Info()
	for _, p := range a.Logs {
		l = l.Str("x_"+p.Key, p.Value)
	}
	l.Msg("hook " + kind)
}

// tick runs the hooks whose time has come, about every second.
func (h *hookRunner) tick(ctx context.Context) {
	r := hooks.NewRunner()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		var s *hooks.Set
		var ev script.Event
		if h.d.do(ctx, func() {
			if s = h.book.Live(); s.Has(script.Every) {
				c := h.d.core.Counters
				ev = script.EveryEvent(h.d.core.Waiting(), h.d.core.Open(), c.Offered, c.Established, c.Refused, c.TimedOut)
			}
		}) != nil || !s.Has(script.Every) {
			continue
		}
		var a hooks.Advice
		r.RunDue(s, &ev, h.d.now(), &a)
		h.noted(&a)
		h.logged(script.Every, &a)
	}
}

// read makes a checked set of files; nothing of it is in use yet.
func (h *hookRunner) read(files, examples []string, earlier *hooks.Set) (*hooks.Set, error) {
	var src []hooks.Source
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		src = append(src, hooks.Source{Name: filepath.Base(f), Text: string(b)})
	}
	return h.compile(src, examples, earlier)
}

func (h *hookRunner) compile(src []hooks.Source, examples []string, earlier *hooks.Set) (*hooks.Set, error) {
	var names hooks.Names
	for _, c := range h.d.cfg.Classes {
		names.Classes = append(names.Classes, c.Name)
	}
	for _, t := range h.d.cfg.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	s, err := hooks.Compile(src, names, earlier)
	if err != nil {
		return nil, err
	}
	for _, f := range examples {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		ex, err := hooks.ParseExamples(f, b)
		if err != nil {
			return nil, err
		}
		if err := s.Check(ex); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
	}
	for _, w := range s.Warnings() {
		h.d.log.Warn().Msg("script " + w.Error())
	}
	return s, nil
}

// LoadHooks reads the scripts of the settings again. A bad set is refused, and the old one stays. shadow: the set is tried
// beside the live one.
func (d *Daemon) LoadHooks(ctx context.Context, files, examples []string, shadow bool) error {
	var earlier *hooks.Set
	var version int
	if err := d.do(ctx, func() { earlier, version = d.hooks.book.Live(), d.hooks.book.NextVersion() }); err != nil {
		return err
	}
	if shadow {
		earlier = nil // what it counts is its own
	}
	s, err := d.hooks.read(files, examples, earlier)
	if err != nil {
		return err
	}
	s.Version = version
	return d.do(ctx, func() { d.useHooks(s, shadow) })
}

// InstallHooks puts scripts that the program holds into use, for days that are played.
func (d *Daemon) InstallHooks(src []hooks.Source) error {
	s, err := d.hooks.compile(src, nil, d.hooks.book.Live())
	if err != nil {
		return err
	}
	d.hooks.book.Activate(s)
	return nil
}

// SwapHooks puts scripts that the program holds in the place of the live ones at one instant.
func (d *Daemon) SwapHooks(ctx context.Context, src []hooks.Source) error {
	var earlier *hooks.Set
	if err := d.do(ctx, func() { earlier = d.hooks.book.Live() }); err != nil {
		return err
	}
	s, err := d.hooks.compile(src, nil, earlier)
	if err != nil {
		return err
	}
	return d.do(ctx, func() { d.useHooks(s, false) })
}

func (d *Daemon) useHooks(s *hooks.Set, shadow bool) {
	if shadow {
		d.hooks.book.SetShadow(s)
		d.log.Info().Stringer("set", s).Msg("scripts on trial")
		return
	}
	d.hooks.book.Activate(s)
	d.log.Info().Stringer("set", s).Msg("scripts in use")
}

// hooksCommand carries out a line of the control port.
func (d *Daemon) hooksCommand(ctx context.Context, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "load":
		return d.LoadHooks(ctx, d.cfg.Hooks.Files, d.cfg.Hooks.Examples, false)
	case len(args) == 1 && args[0] == "rollback":
		var err error
		if e := d.do(ctx, func() { err = d.hooks.book.RollBack() }); e != nil {
			return e
		}
		return err
	case len(args) == 2 && args[0] == "shadow" && args[1] == "off":
		return d.do(ctx, func() { d.hooks.book.SetShadow(nil) })
	case len(args) >= 2 && args[0] == "shadow":
		return d.LoadHooks(ctx, args[1:], nil, true)
	}
	return errors.New("hooks load, hooks rollback, hooks shadow FILE... and hooks shadow off can be")
}

func (d *Daemon) finalEvent(e *controller.CallRecord) script.Event {
	c := script.Call{Called: e.Called.String(), Calling: e.Calling.String(), Category: int(e.Category), Transit: e.Transit, To: int(e.To), Attempts: e.Attempts, Age: e.After}
	if e.Class < len(d.cfg.Classes) {
		c.Class = d.cfg.Classes[e.Class].Name
	}
	if e.Tenant < len(d.cfg.Tenants) {
		c.Tenant = d.cfg.Tenants[e.Tenant].Name
	}
	return script.FinalEvent(c, e.Outcome.String(), int(e.Cause), int(e.Via), e.After)
}

// ExchangeChanged hands changes of the list to the hooks.
func (p port) ExchangeChanged(e policy.Entry, cold bool) {
	h := p.d.hooks
	if s := h.book.Live(); s.Has(script.ListChange) {
		ev := script.ListEvent(e.PointCode, [...]string{"ready", "draining", "gone"}[e.Health], cold)
		if !h.post(hookJob{list: &ev, set: s}) {
			s.CountTimeout(script.ListChange)
		}
	}
}
