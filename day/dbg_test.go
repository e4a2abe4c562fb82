package day

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/umbergauge/umbergauge/check"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

var dk = flag.String("dk", "", "")
var ds = flag.Uint64("ds", 0, "")

func TestDbg(t *testing.T) {
	d, _ := Draw(*ds, *dk)
	res := play(t, d)
	for _, f := range res.Report.Broken {
		if f.Rule != 2 && f.Rule != 5 {
			continue
		}
		fmt.Println("=====", f)
		type lk struct {
			c, s uint32
			cic  uint16
		}
		on := map[lk]bool{}
		check.Trace(os.Stdout, res.Record, func(l record.Link, m *m3ua.Message, u *isup.Message) bool {
			if u == nil {
				return false
			}
			if u.Type == isup.IAM && fmt.Sprintf("%d.%d", u.Ref.PC, u.Ref.ID) == f.Call {
				if l.Kind == record.FarLink {
					on[lk{l.Controller, l.Switch, u.CIC}] = true
				}
				return true
			}
			return false
		})
		fmt.Println("--")
		check.Trace(os.Stdout, res.Record, func(l record.Link, m *m3ua.Message, u *isup.Message) bool {
			if u == nil {
				return false
			}
			a, b := m.Data.OPC, m.Data.DPC
			return on[lk{a, b, u.CIC}] || on[lk{b, a, u.CIC}]
		})
	}
}
