// Command topazrock-standin simulates the platform and the database members for
// tests, and runs the demo and the benchmark.
package main

import (
	"os"

	"github.com/topazrock/topazrock/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
