package operator_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/fleet"
	"github.com/guavagauge/guavagauge/logging"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/storetest"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	credential  = "operator-test-credential"
	prefix      = "config/"
	storeClient = "node-10.0.0.1" // name under which the first node calls the store

	firstConfig = `
[[Owner]]
Name = "o"
[[Workspace]]
Owner = "o"
Name = "alpha"
[[Workspace]]
Owner = "o"
Name = "beta"
`
)

// fixture runs the operator servers of two nodes that share a store, in a
// synctest bubble.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	network *nettest.Network
	store   *storetest.Server
	http    *http.Client
	clients []*operator.Client // one for each node
}

// withFixture calls test in a new fixture whose store holds firstConfig as
// revision 1.
func withFixture(t *testing.T, test func(f *fixture)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fixture{t: t, ctx: ctx, network: nettest.New(), store: storetest.New(storetest.Options{})}
		f.http = transport.HTTPClient(f.network.Host("10.9.0.1"))
		hosts := []string{"10.0.0.1", "10.0.0.2"}
		var members []distribution.Member
		for _, host := range hosts {
			members = append(members, distribution.Member{Name: host, Address: netip.MustParseAddrPort(host + ":7000"), FailureDomain: host})
		}
		for _, self := range members {
			f.startNode(self, members)
		}
		f.apply(operator.ApplyRequest{Text: firstConfig})
		test(f)
		f.http.CloseIdleConnections()
		cancel()
		time.Sleep(time.Second) // net/http servers take a while to close
		synctest.Wait()
	})
}

func (f *fixture) startNode(self distribution.Member, members []distribution.Member) {
	host := self.Address.Addr().String()
	set := metrics.NewSet()
	repository, err := distribution.NewRepository(distribution.RepositoryOptions{Client: f.store.Client("node-" + host), Prefix: prefix})
	f.check(err)
	follower, err := distribution.NewFollower(f.ctx, distribution.FollowerOptions{
		Self: self, Members: func() []distribution.Member { return members }, Repository: repository, Metrics: set,
		Peers: peer.NewPool(f.ctx, f.network.Host(host), peer.Control, peer.Options{}),
	})
	f.check(err)
	listener, err := f.network.Host(host).Listen(f.ctx, self.Address)
	f.check(err)
	f.check(peer.NewServer(f.ctx, listener, peer.Options{}).Register(distribution.Service, follower.Receiver()))
	address := netip.AddrPortFrom(self.Address.Addr(), 8081)
	listener, err = f.network.Host(host).Listen(f.ctx, address)
	f.check(err)
	server := &http.Server{Handler: operator.NewServer(operator.Options{
		Repository: repository, Follower: follower, Metrics: set, Logger: logging.New(f.t.Output(), slog.LevelInfo),
		Ready: func() bool { return true }, CredentialSHA256: fleet.HashKey(credential),
	}).Handler()}
	context.AfterFunc(f.ctx, func() { server.Close() })
	go server.Serve(listener)
	f.clients = append(f.clients, operator.NewClient(f.network.Host("10.9.0.1"), address, credential))
}

func (f *fixture) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// apply applies a configuration and fails the test if it is refused.
func (f *fixture) apply(request operator.ApplyRequest) (revision uint64) {
	f.t.Helper()
	reply, err := f.clients[0].Apply(f.ctx, request)
	f.check(err)
	return reply.Revision
}

// config returns the newest revision and its configuration.
func (f *fixture) config() (revision uint64, config *fleet.Config) {
	f.t.Helper()
	reply, err := f.clients[0].Config(f.ctx, true)
	f.check(err)
	config, problems := fleet.Parse("stored", []byte(reply.Text))
	if len(problems) > 0 {
		f.t.Fatal(problems)
	}
	return reply.Revision, config
}

// keys returns the names of all keys.
func (f *fixture) keys() (names []string) {
	f.t.Helper()
	reply, err := f.clients[0].Keys(f.ctx)
	f.check(err)
	for _, key := range reply.Keys {
		names = append(names, key.Name)
	}
	return names
}

func (f *fixture) issue(name string) {
	f.t.Helper()
	_, err := f.clients[0].IssueKey(f.ctx, operator.KeyRequest{Owner: "o", Name: name, Workspace: "alpha"})
	f.check(err)
}

func (f *fixture) withdraw(name string) {
	f.t.Helper()
	_, err := f.clients[0].WithdrawKey(f.ctx, operator.KeyRequest{Owner: "o", Name: name})
	f.check(err)
}
