package hooks

import "time"

// The breaker of a hook: after failuresInARow, or when more than half of the last recent runs failed, it is taken out for a
// while, tried once, and taken out for twice as long if that fails. A hook that works at all is never taken out by a few
// odd calls.
const (
	failuresInARow = 5
	recent         = 32
	outAtFirst     = time.Second
	outAtMost      = time.Minute
	// stepsPerSecond is what one hook may use in a second over all calls; beyond that calls go on without it till the next.
	stepsPerSecond = 20_000_000
)

type breaker struct {
	inARow  int
	history uint32 // the last runs, a bit each: 1 failed
	runs    int
	span    time.Duration // of being out; 0: in use
	until   time.Duration
	trial   bool // one run is being tried

	second int64 // whole second that steps belong to
	steps  int
}

// allow tells whether a run may be made now. A run that is allowed must be followed by done.
func (b *breaker) allow(now time.Duration) bool {
	if s := int64(now / time.Second); s != b.second {
		b.second, b.steps = s, 0
	}
	if b.steps >= stepsPerSecond {
		return false
	}
	if b.span == 0 {
		return true
	}
	if now < b.until || b.trial {
		return false
	}
	b.trial = true
	return true
}

// done notes how a run went; it tells whether the hook has been taken out, or put back, by it.
func (b *breaker) done(now time.Duration, failed bool, steps int) (changed bool) {
	b.steps += steps
	if b.span > 0 {
		b.trial = false
		if !failed {
			*b = breaker{second: b.second, steps: b.steps}
			return true
		}
		b.span = min(2*b.span, outAtMost)
		b.until = now + b.span
		return false
	}
	b.runs++
	b.history <<= 1
	if !failed {
		b.inARow = 0
		return false
	}
	b.history |= 1
	b.inARow++
	n := 0
	for h := b.history; h != 0; h &= h - 1 {
		n++
	}
	if b.inARow >= failuresInARow || b.runs >= recent && n > recent/2 {
		b.span, b.until = outAtFirst, now+outAtFirst
		return true
	}
	return false
}

func (b *breaker) state(now time.Duration) string {
	switch {
	case b.span == 0:
		return "in use"
	case now < b.until:
		return "out"
	}
	return "on trial"
}
