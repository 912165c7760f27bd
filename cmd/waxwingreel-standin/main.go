// Command waxwingreel-standin runs a stand-in for a model engine or a plain service.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/waxwingreel/waxwingreel/standin"
)

type options struct {
	Kind         string        `long:"kind" choice:"engine" choice:"service" default:"engine" description:"Kind of backend server to stand in for"`
	Listen       string        `long:"listen" default:"127.0.0.1:9000" description:"Address to listen on"`
	Name         string        `long:"name" default:"standin" description:"Name to include in responses"`
	Slots        int           `long:"slots" default:"16" description:"Number of requests that run concurrently"`
	Queue        int           `long:"queue" default:"64" description:"Maximum length of the request queue"`
	TokenTime    time.Duration `long:"token-time" default:"5ms" description:"Time between tokens"`
	PromptTime   time.Duration `long:"prompt-time" default:"20ms" description:"Time to process 1000 prompt tokens"`
	CacheBlocks  int           `long:"cache-blocks" default:"4096" description:"Capacity of the prefix cache in blocks"`
	LoadLag      time.Duration `long:"load-lag" default:"300ms" description:"Age of the load reports"`
	ChecksOrders bool          `long:"checks-orders" description:"Refuse orders with an outdated fencing number"`
	LoseEvents   uint64        `long:"lose-cache-events" default:"10" description:"Drop one of this many cache events"`
	Work         time.Duration `long:"work" default:"10ms" description:"Duration of a service call"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{
		Addr:              opts.Listen,
		Handler:           newHandler(opts),
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != nil && err != http.ErrServerClosed {
		fmt.Fprintf(os.Stderr, "waxwingreel-standin: listen on %s: %v\n", opts.Listen, err)
		os.Exit(1)
	}
}

func newHandler(opts options) http.Handler {
	if opts.Kind == "service" {
		return standin.NewService(standin.ServiceConfig{
			Name: opts.Name,
			Work: opts.Work,
		})
	}
	return standin.NewEngine(standin.EngineConfig{
		Name:            opts.Name,
		Slots:           opts.Slots,
		QueueLength:     opts.Queue,
		TokenTime:       opts.TokenTime,
		PromptTime:      opts.PromptTime,
		CacheBlocks:     opts.CacheBlocks,
		LoadLag:         opts.LoadLag,
		ChecksOrders:    opts.ChecksOrders,
		LoseCacheEvents: opts.LoseEvents,
	})
}
