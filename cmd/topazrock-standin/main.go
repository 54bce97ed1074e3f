// Command topazrock-standin plays the platform and the database members in
// tests, and runs the demo and the bench.
package main

import (
	"os"

	"github.com/topazrock/topazrock/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
