// Command rhubarbshore runs an entry VM's daemon, and is the command-line client
// for callers and operators.
package main

import (
	"os"

	"rhubarbshore/internal/cmd/root"
)

func main() {
	os.Exit(root.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
