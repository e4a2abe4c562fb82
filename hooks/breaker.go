package hooks

import "time"

// The breaker of a hook: after maxConsecutiveFailures, or when more than half of the last historyRuns runs failed, it is taken out for a
// while, tried once, and taken out for twice as long if that fails. A hook that works at all is never taken out by a few
// odd calls.
const (
	maxConsecutiveFailures = 5
	historyRuns            = 32
	initialOpenSpan        = time.Second
	maxOpenSpan            = time.Minute
	// maxStepsPerSecond is what one hook may use in a second over all calls; beyond that calls go on without it till the next.
	maxStepsPerSecond = 20_000_000
)

type breaker struct {
	consecutiveFailures int
	history             uint32 // the last runs, a bit each: 1 failed
	runs                int
	openSpan            time.Duration // of being out; 0: in use
	openUntil           time.Duration
	probing             bool // one run is being tried

	second int64 // whole second that steps belong to
	steps  int
}

// allow tells whether a run may be made now. A run that is allowed must be followed by done.
func (b *breaker) allow(now time.Duration) bool {
	if s := int64(now / time.Second); s != b.second {
		b.second, b.steps = s, 0
	}
	if b.steps >= maxStepsPerSecond {
		return false
	}
	if b.openSpan == 0 {
		return true
	}
	if now < b.openUntil || b.probing {
		return false
	}
	b.probing = true
	return true
}

// recordRun notes how a run went; it tells whether the hook has been taken out, or put back, by it.
func (b *breaker) recordRun(now time.Duration, failed bool, steps int) (changed bool) {
	b.steps += steps
	if b.openSpan > 0 {
		b.probing = false
		if !failed {
			*b = breaker{second: b.second, steps: b.steps}
			return true
		}
		b.openSpan = min(2*b.openSpan, maxOpenSpan)
		b.openUntil = now + b.openSpan
		return false
	}
	b.runs++
	b.history <<= 1
	if !failed {
		b.consecutiveFailures = 0
		return false
	}
	b.history |= 1
	b.consecutiveFailures++
	failures := 0
	for h := b.history; h != 0; h &= h - 1 {
		failures++
	}
	if b.consecutiveFailures >= maxConsecutiveFailures || b.runs >= historyRuns && failures > historyRuns/2 {
		b.openSpan, b.openUntil = initialOpenSpan, now+initialOpenSpan
		return true
	}
	return false
}

func (b *breaker) state(now time.Duration) string {
	switch {
	case b.openSpan == 0:
		return "in use"
	case now < b.openUntil:
		return "out"
	}
	return "on trial"
}
