package client_test

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"rhubarbshore/examples"
	"rhubarbshore/internal/site"
	"rhubarbshore/pkg/api"
	"rhubarbshore/pkg/client"
)

// Sends a request under a ticket and prints its outcome. The example starts a site in
// its own process; a real program passes the addresses of its entry VMs.
func ExampleClient_Send() {
	files, err := site.ReadExample(examples.Files, "robes")
	if err != nil {
		panic(err)
	}
	s, err := site.Start(site.Config{Files: files, VMs: 1, Minions: 1, Logger: slog.New(slog.DiscardHandler), Deadlines: site.Deadlines()})
	if err != nil {
		panic(err)
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := client.New(client.Config{Addresses: s.Addresses()})
	if _, err := s.Publish(ctx, c); err != nil {
		panic(err)
	}

	resp, err := c.Send(ctx, api.Request{Customer: "parishes", Kind: "reminder", Body: []byte("return the albs")}, client.Options{})
	if err != nil {
		panic(err)
	}
	switch resp.Outcome {
	case api.Done:
		fmt.Println(string(resp.Body))
	case api.NotRun, api.Retry:
		fmt.Println("the request was not accepted or did not run:", resp.Reason)
	default:
		fmt.Println("the request may have run:", resp.Reason)
	}
	// Output: parishes reminder return the albs
}
