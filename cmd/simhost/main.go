// Command simhost runs call controllers for the simulator, with which it communicates over standard input and output.
package main

import (
	"fmt"
	"os"

	"github.com/umbergauge/umbergauge/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
