package hooks

import (
	"errors"
	"fmt"
	"time"
)

// Registry keeps the versions of scripts: the live one, those before it, and a shadow that is only tried. It belongs to one
// goroutine; the sets that it hands out may be run by others.
type Registry struct {
	live, shadow *Set
	previous     []*Set
	nextVersion  int
	shadowRuns   uint64
	shadowDiffs  uint64
	samples      []string
}

// maxPrevious bounds the versions that can be rolled back to.
const maxPrevious = 10

// Live is the set that new calls belong to; nil: there is none.
func (r *Registry) Live() *Set { return r.live }

// Shadow is the set that is tried beside it, or nil.
func (r *Registry) Shadow() *Set { return r.shadow }

// Activate makes a set the live one at this instant. Calls that have come before keep theirs.
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

// NextVersion numbers a set that is about to be made.
func (r *Registry) NextVersion() int { return max(1, r.nextVersion) }

// RollBack makes the version before the live one live again.
func (r *Registry) RollBack() error {
	if len(r.previous) == 0 {
		return errors.New("there is no version to go back to")
	}
	r.live = r.previous[len(r.previous)-1]
	r.previous = r.previous[:len(r.previous)-1]
	return nil
}

// SetShadow begins or, with nil, ends the trial of a shadow.
func (r *Registry) SetShadow(s *Set) {
	r.shadow, r.shadowRuns, r.shadowDiffs, r.samples = s, 0, 0, nil
}

// AddComparison notes how the shadow's advice differs on one event.
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

// Report is what operators see: versions, hooks, and the shadow's differences.
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
