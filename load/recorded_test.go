package load

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
)

// Guards against calls lost, repeated or altered between Recorder, ReadRecord and the parts of a recorded load, and against
// invalid rows that are accepted or reported without their position.
func TestRecordedCallsReadBackAndSplitIntoParts(t *testing.T) {
	var recorder Recorder
	at := time.Second
	for i, called := range []string{"2001", "2002", "2003"} {
		n, _ := isup.ParseNumber(4, called)
		recorder.Message(at, "a", 900, &isup.Message{Type: isup.IAM, CIC: uint16(i), Category: 10, Called: n})
		at += 100 * time.Millisecond
	}
	recorder.Message(at, "a", 900, &isup.Message{Type: isup.ANM, CIC: 1})
	recorder.Message(at+2*time.Second, "a", 900, &isup.Message{Type: isup.REL, CIC: 1})
	var output bytes.Buffer
	if err := recorder.Write(&output); err != nil {
		t.Fatal(err)
	}
	cfg := parse(t, "rate: 50", "process: recorded\nrecord: r.csv\nclients: 2")
	var err error
	if cfg.recorded, err = ReadRecord("r.csv", &output, cfg); err != nil {
		t.Fatal(err)
	}
	for n := 1; n <= 2; n++ {
		seen := map[string]time.Duration{}
		for i := range n {
			part, err := cfg.Part(i, n)
			if err != nil {
				t.Fatal(err)
			}
			for arrivals := NewArrivals(part); ; {
				arrival, ok := arrivals.Next()
				if !ok {
					break
				}
				if _, twice := seen[arrival.Called]; twice || arrival.Client >= part.Clients || arrival.Hold < 0 {
					t.Errorf("%d parts: call offered twice or with invalid client or hold: %+v", n, arrival)
				}
				seen[arrival.Called] = arrival.At
				if arrival.Called == "2002" && arrival.Hold != 2*time.Second {
					t.Errorf("recorded hold %v, want 2s", arrival.Hold)
				}
			}
		}
		if len(seen) != 3 || seen["2003"] != 200*time.Millisecond {
			t.Errorf("%d parts: times by called number %v, want three with 2003 at 200ms", n, seen)
		}
	}
	for line, want := range map[string]string{
		"0s,10,2001,,x": `r.csv:2:13: client "x"`, "0s,99,2001,,": `r.csv:2:4: category "99"`, "0s,10,20a!,,": "called", "-1s,10,2001,,": "r.csv:2:1: at",
		"1s,10,2001,,\n0s,10,2001,,": "r.csv:3:1: at", "0s,10": "r.csv", "": "holds no call",
	} {
		if _, err := ReadRecord("r.csv", strings.NewReader(strings.Join(recordHeader, ",")+"\n"+line+"\n"), cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("row %q: unexpected error %v", line, err)
		}
	}
}
