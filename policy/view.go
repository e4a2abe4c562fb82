package policy

import "time"

// View is what operators see of one exchange. It is read only; nothing is decided from it.
type View struct {
	PointCode  int
	Address    string
	Health     Health
	Launched   time.Duration // latest start; 0: long ago
	Cold       bool
	Window     float64 // Wmax
	SlotsHeld  int     // slots held now
	Load       float64 // first input of the last step
	Silent     bool
	Free, Size float64 // circuits of the trunk group, as the module counts them
	Pending    int     // set-ups awaiting an answer
}

// View appends what the controller holds of each exchange, the own one first.
func (c *Engine) View(out []View) []View {
	see := func(x *exchange) View {
		return View{PointCode: x.code, Address: x.addr,
			Health: x.health, Launched: x.launched, Cold: c.cold(x),
			Window: x.window, SlotsHeld: x.held, Load: x.seen, Silent: x.silent,
			Free: x.free, Size: x.size, Pending: len(x.out)}
	}
	out = append(out, see(c.own))
	for _, x := range c.order {
		out = append(out, see(x))
	}
	return out
}
