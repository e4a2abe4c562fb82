package brain_test

import (
	"fmt"
	"time"

	"github.com/umbergauge/umbergauge/brain"
)

// A controller of exchange 0 that knows exchange 1 takes one call for it.
func Example() {
	ctl, err := brain.New(brain.Config{
		Self: 0, Controllers: 2, MaxAttempts: 3, Guard: 200 * time.Millisecond,
		Classes: []brain.Class{{Aim: time.Second, Worth: 1, Circuits: 1, Repeatable: true}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	var actions []brain.Action
	for _, ev := range []brain.Event{
		brain.List{Whole: true, Entries: []brain.Entry{{Address: "10.0.0.2:8080", PointCode: 1}}},
		brain.Offered{Call: 7, Destination: 1, Advised: -1, Circuits: 1, Due: now + 3*time.Second},
	} {
		actions = ctl.Handle(now, ev, actions)
	}
	for _, act := range actions {
		if setUp, ok := act.(brain.SetUp); ok {
			fmt.Printf("set up call %d at %s within %v\n", setUp.Call, setUp.Exchange, setUp.TimeOut)
		}
	}
	// Output: set up call 7 at 10.0.0.2:8080 within 1s
}
