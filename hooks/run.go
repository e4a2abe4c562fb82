package hooks

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/script"
)

// Advice is the merged result of hooks: everything that they can request for a call.
type Advice struct {
	Refuse  int // cause value with which an arriving call is refused; 0: not refused
	Class   string
	Tenant  string
	Rewrite string
	Exclude []int // exchanges that the call must not be routed to
	TreatAs int   // cause that package policy uses instead of that of the refused attempt; 0: none
	Tags    []string
	Logs    []script.LogField
	// Failed lists the names of the hooks that failed, BreakerNotes the state changes of circuit breakers.
	Failed       []string
	BreakerNotes []string
}

// Runner runs hooks. It is not safe for concurrent use; each worker has its own.
type Runner struct {
	vm     *script.VM
	result script.Result
}

// NewRunner returns a Runner.
func NewRunner() *Runner { return &Runner{vm: script.NewVM()} }

// breakersMu guards the breakers and Stats of all hooks, which workers share. It is never held while a hook runs.
var breakersMu sync.Mutex

// Run runs all hooks of a kind on an event, in the order of their files, and merges their results into a. The results of a
// hook that failed are discarded.
func (r *Runner) Run(s *Set, kind string, ev *script.Event, now time.Duration, a *Advice) {
	for _, h := range s.byKind[kind] {
		r.runGuarded(h, ev, now, a)
	}
}

// RunDue runs every periodic hook that is due and returns the time of the next run; 0: the set has no periodic hook.
func (r *Runner) RunDue(s *Set, ev *script.Event, now time.Duration, a *Advice) (next time.Duration) {
	for _, h := range s.byKind[script.Every] {
		if h.nextRun == 0 {
			h.nextRun = now + h.every
		}
		if now >= h.nextRun {
			// After a jump of the clock the missed runs are not made up for.
			h.nextRun = now + h.every
			r.runGuarded(h, ev, now, a)
		}
		if next == 0 || h.nextRun < next {
			next = h.nextRun
		}
	}
	return next
}

// runGuarded runs one hook if its circuit breaker allows it.
func (r *Runner) runGuarded(h *hook, ev *script.Event, now time.Duration, a *Advice) {
	breakersMu.Lock()
	allowed := h.breaker.allow(now)
	if !allowed {
		h.stats.Skipped++
	}
	breakersMu.Unlock()
	if !allowed {
		if h.refuse && a.Refuse == 0 { // @failure(refuse): the call must not continue without this hook
			a.Refuse = 42 // switching equipment congestion (Q.850)
		}
		return
	}
	err := r.runOne(h, ev, now, a)
	breakersMu.Lock()
	h.stats.Runs++
	h.stats.Steps += uint64(r.result.Steps)
	if err != nil {
		h.stats.Failures++
		h.stats.LastError = err.Error()
	}
	changed := h.breaker.recordRun(now, err != nil, r.result.Steps)
	state := h.breaker.state(now)
	breakersMu.Unlock()
	if err != nil {
		a.Failed = append(a.Failed, h.name)
		if h.refuse && a.Refuse == 0 {
			a.Refuse = 42
		}
	}
	if changed {
		a.BreakerNotes = append(a.BreakerNotes, fmt.Sprintf("%s is %s: %v", h.name, state, err))
	}
}

// runOne runs a hook without regard to its breaker and merges its result.
func (r *Runner) runOne(h *hook, ev *script.Event, now time.Duration, a *Advice) error {
	r.result.Reset()
	s := h.set
	if err := r.vm.Run(s.programs[h.program], h.index, ev, s.states[h.program], now, &r.result); err != nil {
		return err
	}
	return s.merge(h, &r.result, a)
}

// merge adds the result of one hook to the advice. It is the only place that does so, and it applies only what the kind of
// hook may request. For refusal, class, tenant, rewritten number and treated-as cause the first value is kept; exclusions,
// tags and log fields accumulate up to a limit.
func (s *Set) merge(h *hook, res *script.Result, a *Advice) error {
	if res.Class != "" && !slices.Contains(s.names.Classes, res.Class) {
		return fmt.Errorf("%s: there is no class %q", h.name, res.Class)
	}
	if res.Tenant != "" && !slices.Contains(s.names.Tenants, res.Tenant) {
		return fmt.Errorf("%s: there is no tenant %q", h.name, res.Tenant)
	}
	setIfEmpty := func(to *string, v string) {
		if *to == "" {
			*to = v
		}
	}
	if h.kind == script.Arrival {
		if a.Refuse == 0 {
			a.Refuse = res.Refuse
		}
		setIfEmpty(&a.Class, res.Class)
		setIfEmpty(&a.Tenant, res.Tenant)
		setIfEmpty(&a.Rewrite, res.Rewrite)
	}
	if h.kind == script.Route {
		for _, x := range res.Exclude {
			if len(a.Exclude) < 64 && !slices.Contains(a.Exclude, x) {
				a.Exclude = append(a.Exclude, x)
			}
		}
	}
	if h.kind == script.AttemptEnd && a.TreatAs == 0 && script.ValidTreatAs(int64(res.TreatAs)) {
		a.TreatAs = res.TreatAs
	}
	for _, t := range res.Tags {
		if len(a.Tags) < 32 {
			a.Tags = append(a.Tags, t)
		}
	}
	for _, l := range res.Logs {
		if len(a.Logs) < 32 {
			a.Logs = append(a.Logs, l)
		}
	}
	return nil
}

// CountTimeout records that a call continued because the hooks of a kind did not answer in time.
func (s *Set) CountTimeout(kind string) {
	breakersMu.Lock()
	defer breakersMu.Unlock()
	for _, h := range s.byKind[kind] {
		h.stats.Timeouts++
	}
}

// RefusesOnTimeout reports whether a call must be refused if the hooks of a kind do not answer in time.
func (s *Set) RefusesOnTimeout(kind string) bool {
	return slices.ContainsFunc(s.byKind[kind], func(h *hook) bool { return h.refuse })
}

// Diff describes in one line how the advice of a shadow set differs from that of the live set; empty: it does not differ.
func Diff(live, shadow *Advice) string {
	type summary struct {
		Refuse                 int
		Class, Tenant, Rewrite string
		Exclude                []int
		Treat                  int
		Failed                 int
	}
	a := summary{live.Refuse, live.Class, live.Tenant, live.Rewrite, live.Exclude, live.TreatAs, len(live.Failed)}
	b := summary{shadow.Refuse, shadow.Class, shadow.Tenant, shadow.Rewrite, shadow.Exclude, shadow.TreatAs, len(shadow.Failed)}
	if x, y := fmt.Sprintf("%+v", a), fmt.Sprintf("%+v", b); x != y {
		return fmt.Sprintf("live %s, shadow %s", x, y)
	}
	return ""
}
