package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/check"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// floodScenario has ten tenants with a client each at every controller; the first one's clients offer size times their
// share for 12 s. Admission limits of 0 mean none.
func floodScenario(size, admissionLimit, clientAdmissionLimit float64, seed uint64) *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "flood", 20*time.Second, seed
	scenario.Traffic.Load, scenario.Traffic.Redials, scenario.Traffic.AdmissionLimit, scenario.Traffic.ClientAdmissionLimit = 0.8, 0, admissionLimit, clientAdmissionLimit
	for i := range 10 {
		scenario.Traffic.Tenants = append(scenario.Traffic.Tenants, Tenant{fmt.Sprint("t", i), 0.1})
	}
	if size > 1 {
		scenario.Faults = []Fault{{Kind: ClientFlood, At: 4 * time.Second, For: 12 * time.Second, Size: size}}
	}
	return &scenario
}

// otherClientsService is the service of all clients but the flooding ones, evaluated from the recording without their links.
func otherClientsService(t *testing.T, res Result) float64 {
	t.Helper()
	var recording record.Recording
	floodingLinks := map[int32]bool{}
	for _, f := range res.Record.Frames {
		if res.Record.Links[f.Link].Kind != record.ClientLink {
			continue
		}
		var m m3ua.Message
		if m3ua.Decode(f.Data, &m) == nil && m.Kind == m3ua.DATA && !f.In && m.Data.OPC%10 == 0 { // a client of the first tenant; see clientPC
			floodingLinks[f.Link] = true
		}
	}
	recording.Links, recording.End = res.Record.Links, res.Record.End
	for _, f := range res.Record.Frames {
		if res.Record.Links[f.Link].Kind == record.ClientLink && !floodingLinks[f.Link] {
			recording.Frames = append(recording.Frames, f)
		}
	}
	r := check.Evaluate(recording, res.Spec)
	return r.Whole.Share
}

// A client that offers ten times its share must not take service from the others. With admission limits, the service of the
// others is at most 0.05 lower than without the flood, and not lower than under the flood without limits.
func TestFloodOfOneClient(t *testing.T) {
	var noFlood, limited, unlimited float64
	const seeds = 3
	for seed := uint64(1); seed <= seeds; seed++ {
		noFlood += otherClientsService(t, runScenario(t, floodScenario(1, 1.2, 1.5, seed))) / seeds
		limited += otherClientsService(t, runScenario(t, floodScenario(10, 1.2, 1.5, seed))) / seeds
		unlimited += otherClientsService(t, runScenario(t, floodScenario(10, 0, 0, seed))) / seeds
	}
	t.Logf("other clients' service: no flood %.3f, flood %.3f, flood without admission limits %.3f", noFlood, limited, unlimited)
	if limited < noFlood-0.05 { // allows for the variance of a mean over three seeds; see docs/measurements.md for more seeds
		t.Errorf("other clients' service %.3f with the flood, %.3f without it", limited, noFlood)
	}
	if unlimited > limited {
		t.Errorf("other clients' service %.3f without admission limits, higher than the %.3f with them", unlimited, limited)
	}
}
