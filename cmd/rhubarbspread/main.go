// Command rhubarbspread is the router's daemon and its operators' command line.
package main

import (
	"os"

	"rhubarbspread/io/cli"
)

func main() { os.Exit(cli.Main()) }
