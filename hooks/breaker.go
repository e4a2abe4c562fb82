package hooks

import "time"

// Limits of a hook's circuit breaker. It opens after maxConsecutiveFailures, or when more than half of the last historyRuns
// runs have failed, so that a few failures do not disable a hook that mostly works.
const (
	maxConsecutiveFailures = 5
	historyRuns            = 32
	initialOpenSpan        = time.Second
	maxOpenSpan            = time.Minute
	// maxStepsPerSecond bounds the steps of one hook per second over all calls. Beyond it calls continue without the hook
	// until the next second.
	maxStepsPerSecond = 20_000_000
)

// breaker is the circuit breaker of a hook. While it is open, the hook is skipped. After openSpan one run is allowed as a
// probe: success closes the breaker, failure opens it again for twice as long, up to maxOpenSpan.
type breaker struct {
	consecutiveFailures int
	history             uint32 // one bit for each of the last runs: 1 means failed
	runs                int
	openSpan            time.Duration // 0: the breaker is closed
	openUntil           time.Duration
	probing             bool // the probe run is under way

	second int64 // the second in which steps are counted
	steps  int
}

// allow reports whether a run may be made now. An allowed run must be followed by recordRun.
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

// recordRun records the outcome of a run and reports whether the breaker has thereby opened from the closed state, or
// closed.
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

// state returns the state of the breaker as operators see it.
func (b *breaker) state(now time.Duration) string {
	switch {
	case b.openSpan == 0:
		return "in use"
	case now < b.openUntil:
		return "out"
	}
	return "on trial"
}
