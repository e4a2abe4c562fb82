// Package hooks runs operators' scripts on call events: it selects the hooks of an event, merges their results, disables
// failing hooks by circuit breakers, and keeps the versions of the scripts. It reads no clock and does no I/O.
//
// Hooks only advise and annotate; package policy makes the decisions and its rules hold whatever a hook requests. Advice
// cannot start, repeat or answer a call. It can only refuse one that has just arrived. Set.merge is the only place where a
// hook's result becomes advice.
package hooks

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/umbergauge/umbergauge/script"
)

// Source is one script file.
type Source struct{ Name, Text string }

// Names are the classes and tenants of the settings, which scripts may set. An empty list allows none.
type Names struct{ Classes, Tenants []string }

// Example is a recorded event with the advice that a set must give for it, checked before the set is used.
type Example struct {
	Hook  string         `yaml:"hook"`
	Event map[string]any `yaml:"event"`
	Want  Want           `yaml:"want"`
}

// Want is the advice that an example expects. Fields left out must not be set by any hook.
type Want struct {
	Refuse  int      `yaml:"refuse"`
	Class   string   `yaml:"class"`
	Tenant  string   `yaml:"tenant"`
	Rewrite string   `yaml:"rewrite"`
	TreatAs int      `yaml:"treat_as"`
	Tags    []string `yaml:"tags"`
	Exclude []int    `yaml:"exclude"`
	Fails   bool     `yaml:"fails"` // a hook must fail
}

// ParseExamples parses the content of a file of examples; name is used in errors.
func ParseExamples(name string, b []byte) ([]Example, error) {
	var out []Example
	if err := yaml.UnmarshalWithOptions(b, &out, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return out, nil
}

// Set is one version of all scripts. Its programs do not change. Their state, such as variables and counters, carries over
// to the next version.
type Set struct {
	Version  int
	programs []*script.Program
	states   []*script.State
	hooks    []*hook
	byKind   map[string][]*hook
	names    Names
}

// hook is one hook of a set, with its circuit breaker.
type hook struct {
	set     *Set
	program int // index in Set.programs
	index   int // index of the hook in its program
	kind    string
	name    string // file:line
	refuse  bool
	every   time.Duration
	nextRun time.Duration
	breaker breaker
	stats   Stats
}

// Stats are the counters of a hook. Skipped counts the runs that its breaker prevented, Timeouts the calls that continued
// without an answer in time.
type Stats struct {
	Runs, Failures, Skipped, Timeouts uint64
	Steps                             uint64
	LastError                         string
}

// Compile compiles sources into a set. earlier is the set to be replaced, whose state carries over, or nil. All compilation
// errors are returned at once, as script.Errors. The set must still pass Check.
func Compile(sources []Source, names Names, earlier *Set) (*Set, error) {
	s := &Set{Version: 1, byKind: map[string][]*hook{}, names: names}
	if earlier != nil {
		s.Version = earlier.Version + 1
	}
	var errs script.Errors
	for _, src := range sources {
		p, err := script.Compile(src.Name, src.Text)
		if err != nil {
			var e script.Errors
			if !errors.As(err, &e) {
				return nil, err
			}
			errs = append(errs, e...)
			continue
		}
		var oldState *script.State
		var oldProgram *script.Program
		if earlier != nil {
			if i := slices.IndexFunc(earlier.programs, func(q *script.Program) bool { return q.Name == p.Name }); i >= 0 {
				oldState, oldProgram = earlier.states[i], earlier.programs[i]
			}
		}
		s.programs = append(s.programs, p)
		s.states = append(s.states, p.NewState(oldState, oldProgram))
		for i, h := range p.Hooks {
			compiled := &hook{set: s, program: len(s.programs) - 1, index: i, kind: h.Kind, name: fmt.Sprintf("%s:%d", p.Name, h.Line), refuse: h.RefuseOnFailure, every: h.Every}
			s.hooks = append(s.hooks, compiled)
			s.byKind[h.Kind] = append(s.byKind[h.Kind], compiled)
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// Warnings returns the findings of the script linter.
func (s *Set) Warnings() script.Errors {
	var out script.Errors
	for _, p := range s.programs {
		out = append(out, p.Warnings...)
	}
	return out
}

// Has reports whether the set, which may be nil, has a hook of a kind.
func (s *Set) Has(kind string) bool { return s != nil && len(s.byKind[kind]) > 0 }

// Check runs the examples with a separate state and returns an error for the first whose result is not the expected one.
func (s *Set) Check(examples []Example) error {
	scratch := &Set{Version: s.Version, programs: s.programs, byKind: map[string][]*hook{}, names: s.names}
	for _, p := range s.programs {
		scratch.states = append(scratch.states, p.NewState(nil, nil))
	}
	for _, h := range s.hooks {
		scratchHook := *h
		scratchHook.set, scratchHook.breaker, scratchHook.stats = scratch, breaker{}, Stats{}
		scratch.hooks = append(scratch.hooks, &scratchHook)
		scratch.byKind[scratchHook.kind] = append(scratch.byKind[scratchHook.kind], &scratchHook)
	}
	r := NewRunner()
	for i, x := range examples {
		where := fmt.Sprintf("example %d (%s)", i+1, x.Hook)
		ev, err := script.ParseEvent(x.Hook, x.Event)
		if err != nil {
			return fmt.Errorf("%s: %w", where, err)
		}
		var failed error
		var a Advice
		for _, h := range scratch.byKind[x.Hook] {
			if err := r.runOne(h, &ev, 0, &a); err != nil {
				failed = err
			}
		}
		switch {
		case (failed != nil) != x.Want.Fails:
			return fmt.Errorf("%s: a hook was %sto fail: %v", where, map[bool]string{false: "not "}[x.Want.Fails], failed)
		case x.Want.Fails:
			continue
		}
		got := Want{Refuse: a.Refuse, Class: a.Class, Tenant: a.Tenant, Rewrite: a.Rewrite, TreatAs: a.TreatAs, Tags: a.Tags, Exclude: a.Exclude}
		slices.Sort(got.Exclude)
		slices.Sort(x.Want.Exclude)
		if fmt.Sprint(got) != fmt.Sprint(x.Want) {
			return fmt.Errorf("%s: it makes %v, wanted %v", where, got, x.Want)
		}
	}
	return nil
}

// String describes the set in one line.
func (s *Set) String() string {
	var names []string
	for _, p := range s.programs {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("version %d: %d hooks of %s", s.Version, len(s.hooks), strings.Join(names, ", "))
}

// View is the state of a hook as shown to operators.
type View struct {
	Name, Kind, State string
	Stats             Stats
}

// Views returns the views of all hooks of the set, sorted by name.
func (s *Set) Views(now time.Duration) []View {
	breakersMu.Lock()
	defer breakersMu.Unlock()
	var out []View
	for _, h := range s.hooks {
		out = append(out, View{h.name, h.kind, h.breaker.state(now), h.stats})
	}
	slices.SortStableFunc(out, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
