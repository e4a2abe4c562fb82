// Package hooks decides what scripts may do to calls: which hooks run, what becomes of what they ask for, when one is taken
// out, and which version of the scripts a call belongs to. It reads no clock and does no I/O.
//
// Hooks advise and annotate. Whatever they say, the module decides and the rules hold: Advice has no way to start, repeat
// or answer a call but to refuse one that has just come, and Merge is the one place where what a hook asked for becomes
// advice.
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

// Names are what the settings know: what a script may set. An empty list allows none.
type Names struct{ Classes, Tenants []string }

// Example is one recorded event and what a set must make of it, checked before the set is used.
type Example struct {
	Hook  string         `yaml:"hook"`
	Event map[string]any `yaml:"event"`
	Want  Want           `yaml:"want"`
}

// Want is what an example wants; what is left out must not be asked for.
type Want struct {
	Refuse  int      `yaml:"refuse"`
	Class   string   `yaml:"class"`
	Tenant  string   `yaml:"tenant"`
	Rewrite string   `yaml:"rewrite"`
	TreatAs int      `yaml:"treat_as"`
	Tags    []string `yaml:"tags"`
	Exclude []int    `yaml:"exclude"`
	Fails   bool     `yaml:"fails"` // a hook is to fail
}

// ParseExamples reads a file of examples.
func ParseExamples(name string, b []byte) ([]Example, error) {
	var out []Example
	if err := yaml.UnmarshalWithOptions(b, &out, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return out, nil
}

// Set is one version of all scripts. Its programs and examples don't change; its state goes on from version to version.
type Set struct {
	Version  int
	programs []*script.Program
	states   []*script.State
	hooks    []*hook
	byKind   map[string][]*hook
	names    Names
}

// hook is one hook of a set, with its breaker.
type hook struct {
	set     *Set
	program int
	index   int
	kind    string
	name    string // file:line
	refuse  bool
	every   time.Duration
	nextRun time.Duration
	breaker breaker
	stats   Stats
}

// Stats are a hook's totals.
type Stats struct {
	Runs, Failures, Skipped, Timeouts uint64
	Steps                             uint64
	LastError                         string
}

// Compile makes a set of sources; earlier is the set that it may replace, whose state goes on, or nil. All faults are told
// at once, as script.Errors. The set must still pass Check.
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
			compiled := &hook{set: s, program: len(s.programs) - 1, index: i, kind: h.Kind, name: fmt.Sprintf("%s:%d", p.Name, h.Line), refuse: h.Refuse, every: h.Every}
			s.hooks = append(s.hooks, compiled)
			s.byKind[h.Kind] = append(s.byKind[h.Kind], compiled)
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// Warnings are what the linter has found.
func (s *Set) Warnings() script.Errors {
	var out script.Errors
	for _, p := range s.programs {
		out = append(out, p.Warnings...)
	}
	return out
}

// Has tells whether there is a hook of a kind.
func (s *Set) Has(kind string) bool { return s != nil && len(s.byKind[kind]) > 0 }

// Check runs the examples on a state of their own and names the first that comes out otherwise.
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

// String is one line of a set.
func (s *Set) String() string {
	var names []string
	for _, p := range s.programs {
		names = append(names, p.Name)
	}
	return fmt.Sprintf("version %d: %d hooks of %s", s.Version, len(s.hooks), strings.Join(names, ", "))
}

// View is what operators see of a hook.
type View struct {
	Name, Kind, State string
	Stats             Stats
}

// Views are all hooks of a set, in the order of its files.
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
