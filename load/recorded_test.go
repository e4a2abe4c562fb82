package load

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
)

// A record made from messages is read again as the calls that were offered, and its parts are the whole.
func TestRecord(t *testing.T) {
	var r Recorder
	at := time.Second
	for i, called := range []string{"2001", "2002", "2003"} {
		n, _ := isup.ParseNumber(4, called)
		r.Message(at, "a", 900, &isup.Message{Type: isup.IAM, CIC: uint16(i), Category: 10, Called: n})
		at += 100 * time.Millisecond
	}
	r.Message(at, "a", 900, &isup.Message{Type: isup.ANM, CIC: 1})
	r.Message(at+2*time.Second, "a", 900, &isup.Message{Type: isup.REL, CIC: 1})
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	c := parse(t, "rate: 50", "process: recorded\nrecord: r.csv\nclients: 2")
	var err error
	if c.recorded, err = ReadRecord("r.csv", &b, c); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 2; n++ {
		seen := map[string]time.Duration{}
		for i := range n {
			p, err := c.Part(i, n)
			if err != nil {
				t.Fatal(err)
			}
			for a := NewArrivals(p); ; {
				x, ok := a.Next()
				if !ok {
					break
				}
				if _, twice := seen[x.Called]; twice || x.Client >= p.Clients || x.Hold < 0 {
					t.Errorf("%d parts: %+v", n, x)
				}
				seen[x.Called] = x.At
				if x.Called == "2002" && x.Hold != 2*time.Second {
					t.Errorf("hold %v", x.Hold)
				}
			}
		}
		if len(seen) != 3 || seen["2003"] != 200*time.Millisecond {
			t.Errorf("%d parts: %v", n, seen)
		}
	}
	for line, want := range map[string]string{
		"0s,10,2001,,x": `r.csv:2:13: client "x"`, "0s,99,2001,,": `r.csv:2:4: category "99"`, "0s,10,20a!,,": "called", "-1s,10,2001,,": "r.csv:2:1: at",
		"1s,10,2001,,\n0s,10,2001,,": "r.csv:3:1: at", "0s,10": "r.csv", "": "holds no call",
	} {
		if _, err := ReadRecord("r.csv", strings.NewReader(strings.Join(recordHeader, ",")+"\n"+line+"\n"), c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
