package policy

import "time"

// View is the state of one exchange for operators. It is read only; nothing is decided from it.
type View struct {
	PointCode    int
	Address      string
	Health       Health
	StartedAt    time.Duration // latest start; 0: long ago
	Cold         bool          // still warming up after its start
	Window       float64       // size in slots (Wmax)
	SlotsHeld    int           // slots held now
	Load         float64       // load input of the last step
	Unresponsive bool          // it does not answer and gets probe calls only
	Free, Size   float64       // circuits of the trunk group, as the Engine counts them
	Outstanding  int           // set-ups awaiting an answer
}

// View appends the state of each exchange to out, the own one first, then by point code.
func (c *Engine) View(out []View) []View {
	viewOf := func(exchange *exchangeState) View {
		return View{PointCode: exchange.pointCode, Address: exchange.address,
			Health: exchange.health, StartedAt: exchange.startedAt, Cold: c.isCold(exchange),
			Window: exchange.window, SlotsHeld: exchange.slotsHeld,
			Load: exchange.stepLoad, Unresponsive: exchange.unresponsive,
			Free: exchange.freeCircuits, Size: exchange.groupSize, Outstanding: len(exchange.outstanding)}
	}
	out = append(out, viewOf(c.own))
	for _, exchange := range c.byPointCode {
		out = append(out, viewOf(exchange))
	}
	return out
}
