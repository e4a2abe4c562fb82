package numbering

import (
	"flag"
	"strings"
	"testing"

	"github.com/umbergauge/umbergauge/isup"
	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases. For others: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

// Compares Lookup with a scan of all prefixes.
func TestLookupReturnsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[string]
		added := map[string]bool{}
		for _, p := range rapid.SliceOf(rapid.StringMatching(`[0-3]{0,5}`)).Draw(t, "prefixes") {
			if err := table.Add(p, p); (err != nil) != added[p] {
				t.Fatalf("Add of %q returned %v", p, err)
			}
			added[p] = true
		}
		number := rapid.StringMatching(`[0-3]{0,8}`).Draw(t, "number")
		want, found := "", false
		for p := range added {
			if strings.HasPrefix(number, p) && (!found || len(p) > len(want)) {
				want, found = p, true
			}
		}
		n, _ := isup.ParseNumber(4, number)
		if got, ok := table.Lookup(n); got != want || ok != found {
			t.Fatalf("Lookup of %q returned %q, %v; want %q, %v", number, got, ok, want, found)
		}
	})
}

// Prefixes with characters other than digits, or longer than a number can be, are rejected.
func TestAddRejectsInvalidPrefix(t *testing.T) {
	var table Table[int]
	for _, p := range []string{"12x", "+82", strings.Repeat("1", 25)} {
		if table.Add(p, 1) == nil {
			t.Errorf("invalid prefix %q was accepted", p)
		}
	}
}
