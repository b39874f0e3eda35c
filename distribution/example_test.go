package distribution_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavagauge/guavagauge/distribution"
	"github.com/guavagauge/guavagauge/nettest"
	"github.com/guavagauge/guavagauge/peer"
	"github.com/guavagauge/guavagauge/storetest"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := storetest.New(storetest.Options{})
	repository, _ := distribution.NewRepository(distribution.RepositoryOptions{
		Client: server.Client("operator"), Prefix: "config/",
	})
	followers := startFollowers(ctx, nettest.New(), server, 3)

	change := distribution.ChangeInfo{Author: "amani", Comment: "first route"}
	revision, err := repository.Apply(ctx, 0, map[string][]byte{"route": []byte("/desk")}, change)
	fmt.Println("revision", revision, err)
	_, err = repository.Apply(ctx, 0, map[string][]byte{"route": []byte("/other")}, change)
	fmt.Println(err)
	for _, follower := range followers {
		changes := follower.Subscribe(ctx)
		for follower.Document().Revision < revision {
			<-changes
		}
		fmt.Printf("%s\n", follower.Document().Entries["route"])
	}
	// Output:
	// revision 1 <nil>
	// apply change to revision 0 of config/: the change is based on revision 0, but the current revision is 1
	// /desk
	// /desk
	// /desk
}

// Guards against RPC messages that can't be encoded or are too large, and against
// chunks and records that exceed the store's maximum value size.
func TestLargeDocumentOverRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		server := storetest.New(storetest.Options{})
		r := repository(t, server.Client("operator"), 100)
		entries := map[string][]byte{}
		for i := range 40 {
			entries[fmt.Sprint("large-", i)] = make([]byte, 200<<10)
		}
		if _, err := r.Apply(ctx, 0, entries, distribution.ChangeInfo{}); err != nil {
			t.Fatal(err)
		}
		followers := startFollowers(ctx, nettest.New(), server, 5)
		await := func(revision uint64, size int) {
			time.Sleep(10 * time.Second)
			for i, follower := range followers {
				if d := follower.Document(); d.Revision != revision || len(d.Entries) != size || time.Since(follower.ConfirmedAt()) > 4*time.Second {
					t.Errorf("node %d: revision %d with %d entries, want %d with %d", i, d.Revision, len(d.Entries), revision, size)
				}
			}
		}
		await(1, 40)
		for i := range 5 { // too large for the record of the change
			entries[fmt.Sprint("more-", i)] = make([]byte, 200<<10)
		}
		if _, err := r.Apply(ctx, 1, entries, distribution.ChangeInfo{}); err != nil {
			t.Fatal(err)
		}
		await(2, 45)
		delete(entries, "more-1")
		if _, err := r.Apply(ctx, 2, entries, distribution.ChangeInfo{}); err != nil {
			t.Fatal(err)
		}
		await(3, 44)
		entries["huge"] = make([]byte, 1<<20)
		if revision, err := r.Apply(ctx, 3, entries, distribution.ChangeInfo{}); err == nil {
			t.Errorf("revision %d with an entry that no chunk can hold", revision)
		}
		if result, err := followers[2].RolloutStatus(ctx, 3); err != nil || len(result.Updated) != 5 {
			t.Errorf("%+v, %v", result, err)
		}
	})
}

func startFollowers(ctx context.Context, network *nettest.Network, server *storetest.Server, n int) (followers []*distribution.Follower) {
	var members []distribution.Member
	for i := range n {
		members = append(members, distribution.Member{Name: name(i), Address: address(i), FailureDomain: "iringa-a"})
	}
	for i := range n {
		host := network.Host(address(i).Addr().String())
		listener, err := host.Listen(ctx, netip.AddrPortFrom(address(i).Addr(), 7000))
		if err != nil {
			panic(err)
		}
		repository, err := distribution.NewRepository(distribution.RepositoryOptions{Client: server.Client(name(i)), Prefix: "config/"})
		if err != nil {
			panic(err)
		}
		follower, err := distribution.NewFollower(ctx, distribution.FollowerOptions{
			Self: members[i], Members: func() []distribution.Member { return members }, Repository: repository,
			Peers:    peer.NewPool(ctx, host, peer.Control, peer.Options{}),
			JoinWait: 100 * time.Millisecond,
		})
		if err != nil {
			panic(err)
		}
		if err := peer.NewServer(ctx, listener, peer.Options{}).Register(distribution.Service, follower.Receiver()); err != nil {
			panic(err)
		}
		followers = append(followers, follower)
	}
	return followers
}
