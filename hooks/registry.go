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
	past         []*Set
	next         int
	shadowRuns   uint64
	shadowDiffs  uint64
	samples      []string
}

// maxPast bounds the versions that can be rolled back to.
const maxPast = 10

// Live is the set that new calls belong to; nil: there is none.
func (b *Registry) Live() *Set { return b.live }

// Shadow is the set that is tried beside it, or nil.
func (b *Registry) Shadow() *Set { return b.shadow }

// Activate makes a set the live one at this instant. Calls that have come before keep theirs.
func (b *Registry) Activate(s *Set) {
	if b.live != nil {
		b.past = append(b.past, b.live)
		if len(b.past) > maxPast {
			b.past = b.past[1:]
		}
	}
	b.next = max(b.next, s.Version) + 1
	b.live = s
	b.shadow = nil
}

// NextVersion numbers a set that is about to be made.
func (b *Registry) NextVersion() int { return max(1, b.next) }

// RollBack makes the version before the live one live again.
func (b *Registry) RollBack() error {
	if len(b.past) == 0 {
		return errors.New("there is no version to go back to")
	}
	b.live = b.past[len(b.past)-1]
	b.past = b.past[:len(b.past)-1]
	return nil
}

// SetShadow begins or, with nil, ends the trial of a shadow.
func (b *Registry) SetShadow(s *Set) {
	b.shadow, b.shadowRuns, b.shadowDiffs, b.samples = s, 0, 0, nil
}

// AddComparison notes how the shadow's advice differs on one event.
func (b *Registry) AddComparison(kind, diff string) {
	b.shadowRuns++
	if diff == "" {
		return
	}
	b.shadowDiffs++
	if len(b.samples) < 20 {
		b.samples = append(b.samples, kind+": "+diff)
	}
}

// Report is what operators see: versions, hooks, and the shadow's differences.
func (b *Registry) Report(now time.Duration) []string {
	if b.live == nil && b.shadow == nil {
		return []string{"no scripts"}
	}
	var out []string
	if b.live != nil {
		out = append(out, "live "+b.live.String())
		for _, v := range b.live.Views(now) {
			line := fmt.Sprintf("  %-24s %-12s %-8s runs %d, failures %d, skipped %d, late %d, steps %d", v.Name, v.Kind, v.State, v.Stats.Runs, v.Stats.Failures, v.Stats.Skipped, v.Stats.Late, v.Stats.Steps)
			if v.Stats.LastError != "" {
				line += ", last: " + v.Stats.LastError
			}
			out = append(out, line)
		}
	}
	for i := len(b.past) - 1; i >= 0; i-- {
		out = append(out, "past "+b.past[i].String())
	}
	if b.shadow != nil {
		out = append(out, fmt.Sprintf("shadow %v: %d runs, %d differ", b.shadow, b.shadowRuns, b.shadowDiffs))
		for _, s := range b.samples {
			out = append(out, "  "+s)
		}
	}
	return out
}
