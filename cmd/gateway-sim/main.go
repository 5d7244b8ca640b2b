// Command gateway-sim connects the controller to the simulator, over standard input and output (internal/wire).
package main

import (
	"fmt"
	"os"

	"beechcart/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "gateway-sim:", err)
		os.Exit(1)
	}
}
