// Command simhost hosts controllers on the simulator's wire: standard input and output.
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
