package providertest_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/provider"
	"github.com/guavagauge/guavagauge/providertest"
)

const domain = "limpopo-a"

// withServer runs test in a synctest bubble with a platform that is served over
// HTTP.
func withServer(t *testing.T, test func(t *testing.T, server *providertest.Server, client provider.Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := nettest.New()
		address := netip.MustParseAddrPort("10.0.0.2:80")
		server := providertest.New(ctx, providertest.Options{})
		client := provider.NewClient(network.Host("10.0.0.1"), address, provider.Options{})
		if _, err := client.VMs(ctx); !errors.Is(err, provider.ErrUnavailable) {
			t.Errorf("before the platform listens: %v, want ErrUnavailable", err)
		}
		listener, err := network.Host("10.0.0.2").Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		httpServer := &http.Server{Handler: server.Handler()}
		go httpServer.Serve(listener)
		defer func() { client.Close(); httpServer.Close(); cancel(); synctest.Wait() }()
		test(t, server, client)
	})
}

// Guards against repeated orders that take effect twice, errors that deny the
// effect of an order that had one, a VM list without lag, and VMs that outlive a
// stop or a reclaim.
func TestOrdersUnderFaults(t *testing.T) {
	withServer(t, func(t *testing.T, server *providertest.Server, client provider.Client) {
		ctx := t.Context()
		order := provider.StartOrder{Token: "a", FailureDomain: domain, Capacity: provider.Reclaimable, Count: 2, Epoch: 4}
		want := func(err, want error) {
			t.Helper()
			if !errors.Is(err, want) {
				t.Errorf("error %v, want %v", err, want)
			}
		}
		server.SetDown(true)
		_, err := client.Start(ctx, order)
		want(err, provider.ErrUnavailable)
		server.SetDown(false)
		server.DropResponses(1)
		_, err = client.Start(ctx, order)
		want(err, provider.ErrUnknownOutcome)
		order.Epoch = 5
		started, err := client.Start(ctx, order)
		want(err, nil)
		if len(started) != 2 || len(server.CurrentVMs()) != 2 {
			t.Errorf("started %v, current VMs %v", started, server.CurrentVMs())
		}
		if vms, _ := client.Upstreams(ctx, domain); len(vms) != 0 {
			t.Errorf("list %v does not lag", vms)
		}
		time.Sleep(70 * time.Second)
		if vms, _ := client.VMs(ctx); len(vms) != 2 || vms[0].State != provider.Live || !vms[0].Address.IsValid() {
			t.Errorf("list %v, want 2 live VMs with addresses", vms)
		}
		server.SetAvailable(domain, provider.Reclaimable, 1)
		order.Token = "b"
		_, err = client.Start(ctx, order)
		want(err, provider.ErrNoneAvailable)
		server.SetDelay(time.Minute)
		want(client.Stop(ctx, provider.StopOrder{Token: "c", FailureDomain: domain, VM: started[0].Name, Epoch: 5}), provider.ErrUnknownOutcome)
		server.SetDelay(0)
		synctest.Wait()
		if n := len(server.CurrentVMs()); n != 1 {
			t.Errorf("%d VMs left after a stop whose response was late, want 1", n)
		}
		server.Reclaim(domain)
		if notices, _ := client.Notices(ctx, domain); len(notices) != 1 || notices[0].Remaining != 5*time.Second {
			t.Errorf("notices %v, want one with 5 s remaining", notices)
		}
		time.Sleep(6 * time.Second)
		if n := len(server.CurrentVMs()); n != 0 {
			t.Errorf("%d VMs left after the reclaim", n)
		}
		if violations := server.Violations(); len(violations) != 0 {
			t.Errorf("violations: %v", violations)
		}
	})
}

// Guards against violations that the server doesn't detect, and against repeated
// weight requests that count against the rate limit.
func TestViolationsAndWeightRate(t *testing.T) {
	withServer(t, func(t *testing.T, server *providertest.Server, client provider.Client) {
		ctx := t.Context()
		report := provider.UsageReport{Workspace: "o/alpha", Start: time.Now(), Length: time.Minute, PromptTokens: 5}
		for i, want := range []error{nil, nil, provider.ErrConflict} {
			if i == 2 {
				report.PromptTokens++
			}
			if err := client.ReportUsage(ctx, report); !errors.Is(err, want) {
				t.Errorf("report %d: %v, want %v", i, err, want)
			}
		}
		start := provider.StartOrder{Token: "a", FailureDomain: domain, Capacity: provider.Reserved, Count: 1, Epoch: 7}
		client.Start(ctx, start)
		start.Count = 2
		client.Start(ctx, start) // the same token for another order
		start.Token, start.Epoch = "b", 6
		client.Start(ctx, start) // from a former lease holder
		for _, token := range []string{"c", "d"} {
			client.Stop(ctx, provider.StopOrder{Token: token, FailureDomain: domain, VM: "x", Epoch: 7})
		}
		if violations := server.Violations(); len(violations) != 4 {
			t.Errorf("%d violations, want 4: %q", len(violations), violations)
		}
		for i, token := range []string{"a", "a", "b"} {
			wait, err := client.ReserveWeights(ctx, provider.WeightsRequest{Token: token})
			if err != nil || (wait > 0) != (i == 2) {
				t.Errorf("weights %s: wait %s, %v", token, wait, err)
			}
		}
	})
}
