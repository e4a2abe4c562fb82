package policy_test

import (
	"fmt"
	"time"

	"github.com/umbergauge/umbergauge/policy"
)

// The controller of exchange 0 knows exchange 1 and is offered one call to it.
func Example() {
	ctl, err := policy.New(policy.Config{
		Self: 0, Controllers: 2, MaxAttempts: 3, Guard: 200 * time.Millisecond,
		Classes: []policy.Class{{Aim: time.Second, Worth: 1, Circuits: 1, Repeatable: true}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	var actions []policy.Action
	for _, ev := range []policy.Event{
		policy.List{Full: true, Entries: []policy.Entry{{Address: "10.0.0.2:8080", PointCode: 1}}},
		policy.Offered{Call: 7, Destination: 1, AdvisedTandem: -1, Circuits: 1, Due: now + 3*time.Second},
	} {
		actions = ctl.Handle(now, ev, actions)
	}
	for _, act := range actions {
		if setUp, ok := act.(policy.SetUp); ok {
			fmt.Printf("set up call %d at %s within %v\n", setUp.Call, setUp.Exchange, setUp.TimeOut)
		}
	}
	// Output: set up call 7 at 10.0.0.2:8080 within 1s
}
