package check

import (
	"fmt"
	"io"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// Trace writes the recorded frames for which keep returns true, one a line, for troubleshooting. m and u are only valid
// during the call of keep; u is nil for frames without an ISUP message.
func Trace(w io.Writer, recording record.Recording, keep func(link record.Link, message *m3ua.Message, user *isup.Message) bool) {
	var message m3ua.Message
	var user isup.Message
	for _, f := range recording.Frames {
		if m3ua.Decode(f.Data, &message) != nil {
			continue
		}
		link := recording.Links[f.Link]
		isupMessage := &user
		if message.Kind != m3ua.DATA || isup.Decode(message.Data.User, &user) != nil {
			isupMessage = nil
		}
		if !keep(link, &message, isupMessage) {
			continue
		}
		side, arrow := fmt.Sprintf("switch %d", link.Switch), "<-"
		if link.Kind == record.ClientLink {
			side = "client"
		}
		if f.In {
			arrow = "->"
		}
		text := fmt.Sprint(message.Kind, message.Affected)
		if isupMessage != nil {
			text = fmt.Sprintf("%d>%d circuit %d %v", message.Data.OPC, message.Data.DPC, user.CIC, user.Type)
			switch user.Type {
			case isup.IAM:
				text += fmt.Sprintf(" to %v, call %d.%d", user.Called, user.Ref.PC, user.Ref.ID)
			case isup.REL:
				text += fmt.Sprintf(" cause %d at %d", user.Cause, user.Location)
			case isup.CQR:
				text += fmt.Sprintf(" %x", user.Circuits)
			}
		}
		fmt.Fprintf(w, "%10.3f link %-4d controller %d %s %-12s %s\n", float64(f.At)/float64(time.Second), f.Link, link.Controller, arrow, side, text)
	}
}
