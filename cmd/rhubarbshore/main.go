// Command rhubarbshore is the entry VM's daemon and the client of callers and
// operators.
package main

import (
	"os"

	"rhubarbshore/internal/cmd/root"
)

func main() {
	os.Exit(root.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
