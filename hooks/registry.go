package hooks

import (
	"errors"
	"fmt"
	"time"
)

// Registry keeps the versions of the scripts: the live one, previous ones, and a shadow version whose advice is only
// compared with that of the live one. It must be used by one goroutine; the sets that it returns may be run by others.
type Registry struct {
	live, shadow *Set
	previous     []*Set
	nextVersion  int
	shadowRuns   uint64
	shadowDiffs  uint64
	samples      []string
}

// maxPrevious bounds the number of previous versions kept for a rollback.
const maxPrevious = 10

// Live returns the set that new calls use, or nil if there is none.
func (r *Registry) Live() *Set { return r.live }

// Shadow returns the shadow set, or nil if there is none.
func (r *Registry) Shadow() *Set { return r.shadow }

// Activate makes a set the live one and ends the shadow run. Calls that arrived before keep the set that they started with.
func (r *Registry) Activate(s *Set) {
	if r.live != nil {
		r.previous = append(r.previous, r.live)
		if len(r.previous) > maxPrevious {
			r.previous = r.previous[1:]
		}
	}
	r.nextVersion = max(r.nextVersion, s.Version) + 1
	r.live = s
	r.shadow = nil
}

// NextVersion returns the version number for a set that is about to be compiled.
func (r *Registry) NextVersion() int { return max(1, r.nextVersion) }

// RollBack makes the version before the live one live again. The version that was live is dropped.
func (r *Registry) RollBack() error {
	if len(r.previous) == 0 {
		return errors.New("there is no version to go back to")
	}
	r.live = r.previous[len(r.previous)-1]
	r.previous = r.previous[:len(r.previous)-1]
	return nil
}

// SetShadow starts a shadow run or, with nil, ends it.
func (r *Registry) SetShadow(s *Set) {
	r.shadow, r.shadowRuns, r.shadowDiffs, r.samples = s, 0, 0, nil
}

// AddComparison records the comparison of the shadow's advice with the live advice on one event; an empty diff means that
// they agree.
func (r *Registry) AddComparison(kind, diff string) {
	r.shadowRuns++
	if diff == "" {
		return
	}
	r.shadowDiffs++
	if len(r.samples) < 20 {
		r.samples = append(r.samples, kind+": "+diff)
	}
}

// Report returns the lines shown to operators: versions, hooks, and differences of the shadow.
func (r *Registry) Report(now time.Duration) []string {
	if r.live == nil && r.shadow == nil {
		return []string{"no scripts"}
	}
	var out []string
	if r.live != nil {
		out = append(out, "live "+r.live.String())
		for _, v := range r.live.Views(now) {
			line := fmt.Sprintf("  %-24s %-12s %-8s runs %d, failures %d, skipped %d, late %d, steps %d", v.Name, v.Kind, v.State, v.Stats.Runs, v.Stats.Failures, v.Stats.Skipped, v.Stats.Timeouts, v.Stats.Steps)
			if v.Stats.LastError != "" {
				line += ", last: " + v.Stats.LastError
			}
			out = append(out, line)
		}
	}
	for i := len(r.previous) - 1; i >= 0; i-- {
		out = append(out, "past "+r.previous[i].String())
	}
	if r.shadow != nil {
		out = append(out, fmt.Sprintf("shadow %v: %d runs, %d differ", r.shadow, r.shadowRuns, r.shadowDiffs))
		for _, s := range r.samples {
			out = append(out, "  "+s)
		}
	}
	return out
}
