package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/capture"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/load"
	"github.com/umbergauge/umbergauge/m3ua"
)

func captureCommand() *cobra.Command {
	var number, call, clients string
	c := &cobra.Command{
		Use:   "capture FILE...",
		Short: "Show what is in files of run --capture, a line a message",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			type circuit struct {
				a, b uint32
				cic  uint16
			}
			var recorder load.Recorder
			var first time.Time
			selected := map[circuit]bool{} // circuits that carry a selected call at this point of the capture
			for _, file := range args {
				err := capture.Read(file, func(frame capture.Frame) error {
					var m m3ua.Message
					if first.IsZero() {
						first = frame.At
					}
					if err := m3ua.Decode(frame.Data, &m); err != nil {
						fmt.Fprintf(cmd.OutOrStdout(), "%s %v > %v %v\n", frame.At.Format("15:04:05.000000"), frame.From, frame.To, err)
						return nil
					}
					text := m.Kind.String()
					wanted := number == "" && call == ""
					var u isup.Message
					if m.Kind == m3ua.DATA && isup.Decode(m.Data.User, &u) == nil {
						text = fmt.Sprintf("%d>%d circuit %d %v", m.Data.OPC, m.Data.DPC, u.CIC, u.Type)
						if at := frame.At.Sub(first) + 1; clients != "" && frame.To.String() == clients {
							recorder.Message(at, frame.From.String(), m.Data.OPC, &u)
						} else if clients != "" && frame.From.String() == clients {
							recorder.Message(at, frame.To.String(), m.Data.DPC, &u)
						}
						key := circuit{min(m.Data.OPC, m.Data.DPC), max(m.Data.OPC, m.Data.DPC), u.CIC}
						switch u.Type {
						case isup.IAM:
							ref := fmt.Sprintf("%d.%d", u.Ref.PC, u.Ref.ID)
							text += fmt.Sprintf(" to %v, call %s", u.Called, ref)
							selected[key] = number != "" && strings.HasPrefix(u.Called.String(), number) || call != "" && call == ref
						case isup.REL:
							text += fmt.Sprintf(" cause %d", u.Cause)
						}
						wanted = wanted || selected[key]
					}
					if wanted && clients == "" {
						fmt.Fprintf(cmd.OutOrStdout(), "%s %v > %v %s\n", frame.At.Format("15:04:05.000000"), frame.From, frame.To, text)
					}
					return nil
				})
				if err != nil {
					return resultError{err}
				}
			}
			if clients != "" {
				return recorder.Write(cmd.OutOrStdout())
			}
			return nil
		},
	}
	c.Flags().StringVar(&clients, "arrivals", "", "write the calls of clients of the controller that listens at this address, as CSV for load's process recorded")
	c.Flags().StringVar(&number, "number", "", "only calls to numbers that begin so")
	c.Flags().StringVar(&call, "call", "", "only the call of this reference, POINTCODE.ID")
	return c
}
