package instance

import (
	"context"
	"math/rand/v2"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform/httpclient"
	"github.com/topazrock/topazrock/internal/settings"
)

// Serve runs the instance that a settings file describes, over TCP, until ctx
// ends and the graceful shutdown is over.
func Serve(ctx context.Context, settingsFile string) error {
	s, err := settings.Load(settingsFile)
	if err != nil {
		return oops.In("settings").Wrap(err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	platform := httpclient.New(s.Platform.URL, netio.TCP{}, s.Platform.Timeout)
	defer platform.Close()
	n := New(Options{
		Settings: s,
		Network:  netio.TCP{},
		Clock:    clock.System{},
		Seed:     rand.Uint64(),
		Platform: platform,
		Logger:   newLogger(s),
		Registry: registry,
	})
	return oops.In("instance").With("instance", s.Instance.ID).Wrap(n.Run(ctx))
}

func newLogger(s *settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "topazrock",
		Level:      hclog.LevelFromString(s.Log.Level),
		Output:     os.Stderr,
		JSONFormat: s.Log.Format == settings.FormatJSON,
	})
}
