package plots

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const benchOutput = "some text\n" +
	`{"profile":"lentes","fault":"primary-kill","replica_read_share":0.9,"gaps":{"count":3,"p50_ms":250,"p99_ms":400,"max_ms":410}}` + "\n"

func TestWriteCreatesPlotFiles(t *testing.T) {
	is := is.New(t)
	reports, err := Read(strings.NewReader(benchOutput))
	is.NoErr(err)
	files, err := Write(t.TempDir(), reports)
	is.NoErr(err)
	is.Equal(len(files), 4)
	for _, f := range files {
		info, err := os.Stat(f)
		is.NoErr(err)
		is.True(info.Size() > 1000)
	}
}

func TestReadRejectsInputWithoutReports(t *testing.T) {
	is := is.New(t)
	_, err := Read(strings.NewReader("nothing here\n"))
	is.True(err != nil)
}
