package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"rhubarbshore/examples"
	"rhubarbshore/internal/httpjson"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// benchCallers is the number of concurrent callers per processor.
const benchCallers = 8

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runParallel runs call from many callers. It reports the requests per second and the
// processor time per request, summed over callers, daemon and minions.
func runParallel(b *testing.B, call func() error) {
	b.Helper()
	b.SetParallelism(benchCallers)
	before := processorTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := call(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func startBenchSite(b *testing.B) (*Site, *client.Client) {
	files, err := ReadExample(examples.Files, "robes")
	assert.NilError(b, err)
	for zone := range files.Overlays {
		if zone != "si-a" {
			delete(files.Overlays, zone)
		}
	}
	s, err := Start(Config{Files: files, VMs: 1, Minions: 50, Logger: slog.New(slog.DiscardHandler), Deadlines: Deadlines()})
	assert.NilError(b, err)
	b.Cleanup(s.Close)
	c := s.Client()
	_, err = s.Publish(context.Background(), c)
	assert.NilError(b, err)
	time.Sleep(time.Second)
	return s, c
}

var benchRequest = api.Request{ID: "bench", Customer: "parishes", Kind: "fitting", Body: make([]byte, 512)}

// BenchmarkHop is the baseline for BenchmarkDaemon: a minimal HTTP proxy that passes the
// body to a backend server.
func BenchmarkHop(b *testing.B) {
	s, _ := startBenchSite(b)
	var urls []string
	for _, in := range s.Platform.List("", 0).Instances {
		if in.Service == "booking" {
			urls = append(urls, in.Address)
		}
	}
	next := make(chan string, len(urls)*4)
	for range 4 {
		for _, u := range urls {
			next <- u
		}
	}
	out := httpjson.NewClient(httpjson.ClientConfig{Role: "hop", MaxIdleConnsPerHost: 64, DialTimeout: time.Second})
	address, err := s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u := <-next
		defer func() { next <- u }()
		req, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, u+"/run", r.Body)
		req.ContentLength = r.ContentLength
		resp, err := out.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(w, resp.Body)
	}), nil)
	assert.NilError(b, err)
	in := httpjson.NewClient(httpjson.ClientConfig{Role: "caller", MaxIdleConnsPerHost: 256, DialTimeout: time.Second})
	runParallel(b, func() error {
		_, err := httpjson.Call[api.Request, struct{}](context.Background(), in, http.MethodPost, "http://"+address, &benchRequest)
		if errors.Is(err, httpjson.ErrUnknownOutcome) {
			return nil
		}
		return err
	})
}

// BenchmarkDaemon sends requests without a key or ticket through one daemon.
func BenchmarkDaemon(b *testing.B) { benchmarkDaemon(b, client.Options{Once: true}) }

// BenchmarkDaemonTicket sends each request with a ticket through one daemon.
func BenchmarkDaemonTicket(b *testing.B) { benchmarkDaemon(b, client.Options{}) }

func benchmarkDaemon(b *testing.B, o client.Options) {
	_, c := startBenchSite(b)
	runParallel(b, func() error {
		resp, err := c.Send(context.Background(), benchRequest, o)
		if err == nil && resp.Outcome != api.Done {
			b.Logf("%s: %s", resp.Outcome, resp.Reason)
		}
		return err
	})
}

// BenchmarkBackToBack runs jobs that each need the whole zone, one after the other, and
// reports how often a gang did not start at its first attempt.
func BenchmarkBackToBack(b *testing.B) {
	s, c := startBenchSite(b)
	const seconds = 0.2
	retries := metrics.GetOrCreateCounter(`rhubarbshore_retries_total{reason="gang"}`)
	before := retries.Get()
	ctx := context.Background()
	for i := range b.N {
		_, err := c.Submit(ctx, api.Job{
			ID: fmt.Sprint("job", i), Customer: "parishes", Zone: "si-a", Accelerators: 64, Cells: 2, Tasks: 64, Worth: 1, Seconds: seconds, Class: "spare",
		})
		assert.NilError(b, err)
	}
	for len(s.Spans()) < 16*b.N {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(retries.Get()-before)/float64(b.N), "retries/job")
}

// BenchmarkCancelWave cancels many small jobs at once and reports the number of calls to
// workers per stopped job.
func BenchmarkCancelWave(b *testing.B) {
	s, c := startBenchSite(b)
	const jobs = 400
	stops, calls := metrics.GetOrCreateCounter("rhubarbshore_placer_stops_total"), metrics.GetOrCreateCounter("rhubarbshore_placer_stop_calls_total")
	ctx := context.Background()
	for n := range b.N {
		name := func(i int) string { return fmt.Sprint("job", n, "-", i) }
		for i := range jobs {
			_, err := c.Submit(ctx, api.Job{ID: name(i), Customer: "parishes", Zone: "si-a", Tasks: 4, Cores: 1, Memory: 1, Worth: 1})
			assert.NilError(b, err)
		}
		for len(s.Spans()) < (n+1)*jobs {
			time.Sleep(time.Millisecond)
		}
		stopsBefore, callsBefore := stops.Get(), calls.Get()
		var wave sync.WaitGroup
		for i := range jobs {
			wave.Go(func() { _, _ = c.Cancel(ctx, "si-a", name(i)) })
		}
		wave.Wait()
		for stops.Get()-stopsBefore < jobs {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(calls.Get()-callsBefore)/float64(stops.Get()-stopsBefore), "calls/stop")
	}
}
