package command

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/topazrock/topazrock/internal/standin/bench"
	"github.com/topazrock/topazrock/internal/standin/plots"
)

// plotCommand plots bench reports.
type plotCommand struct {
	Folder string `long:"folder" default:"docs/plots" description:"where the PNG and SVG files go" value-name:"FOLDER"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"outputs of the bench"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute implements flags.Commander.
func (c *plotCommand) Execute([]string) error {
	var reports []bench.Report
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		parsed, err := plots.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		reports = append(reports, parsed...)
	}
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return err
	}
	files, err := plots.Write(c.Folder, reports)
	slices.Sort(files)
	for _, f := range files {
		fmt.Fprintln(c.out, f)
	}
	return err
}
