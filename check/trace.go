package check

import (
	"fmt"
	"io"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// Trace writes the recorded frames that keep, one a line, for people who look for a cause. m is only good for one call;
// its ISUP part is nil for management messages.
func Trace(w io.Writer, day record.Recording, keep func(l record.Link, m *m3ua.Message, u *isup.Message) bool) {
	var m m3ua.Message
	var u isup.Message
	for _, f := range day.Frames {
		if m3ua.Decode(f.Data, &m) != nil {
			continue
		}
		l := day.Links[f.Link]
		what := &u
		if m.Kind != m3ua.DATA || isup.Decode(m.Data.User, &u) != nil {
			what = nil
		}
		if !keep(l, &m, what) {
			continue
		}
		side, arrow := fmt.Sprintf("switch %d", l.Switch), "<-"
		if l.Kind == record.ClientLink {
			side = "client"
		}
		if f.In {
			arrow = "->"
		}
		text := fmt.Sprint(m.Kind, m.Affected)
		if what != nil {
			text = fmt.Sprintf("%d>%d circuit %d %v", m.Data.OPC, m.Data.DPC, u.CIC, u.Type)
			switch u.Type {
			case isup.IAM:
				text += fmt.Sprintf(" to %v, call %d.%d", u.Called, u.Ref.PC, u.Ref.ID)
			case isup.REL:
				text += fmt.Sprintf(" cause %d at %d", u.Cause, u.Location)
			case isup.CQR:
				text += fmt.Sprintf(" %x", u.Circuits)
			}
		}
		fmt.Fprintf(w, "%10.3f link %-4d controller %d %s %-12s %s\n", float64(f.At)/float64(time.Second), f.Link, l.Controller, arrow, side, text)
	}
}
