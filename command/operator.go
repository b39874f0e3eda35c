package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/operator"
	"github.com/guavagauge/guavagauge/transport"
)

const (
	credentialVariable     = "GUAVAGAUGE_CREDENTIAL"
	defaultOperatorAddress = "127.0.0.1:8081"
	defaultWait            = 10 * time.Second // of the flag --wait; then the command fails and lists the nodes behind
	timeLayout             = "2006-01-02 15:04:05Z"
)

// operatorFlags holds the flags of all commands that call a running node.
type operatorFlags struct {
	address string
	tlsCA   string
	author  string
	wait    time.Duration
}

func newApply() *subcommand {
	f := &operatorFlags{}
	file, comment, dryRun, base, keys := "", "", false, 0, false
	c := f.subcommand("apply", "checks a fleet configuration and applies it",
		"  guavagauge apply fleet.toml --dry-run\n  guavagauge apply fleet.toml --base 17 --comment 'two more engines'\n\n"+
			"Keys are kept unless --keys is set; see guavagauge key.",
		func(env environment, client *operator.Client) (err error) {
			if base < 0 {
				return usageError("--base %d: want a revision, as in guavagauge history", base)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			reply, err := client.Apply(env.ctx, operator.ApplyRequest{
				File: file, Text: string(text), Base: uint64(base), Author: f.author, Comment: comment, DryRun: dryRun,
				Keys: keys,
			})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, dryRun)
		})
	c.flags.AddPositionalValue(&file, "FILE", 1, true, "fleet configuration in TOML")
	c.flags.Bool(&keys, "k", "keys", "also replace the keys by those of the file, which can restore withdrawn keys")
	c.flags.Bool(&dryRun, "n", "dry-run", "print the changes without applying them")
	c.flags.Int(&base, "b", "base", "revision that the file was derived from; fails if another one is the newest")
	c.flags.String(&comment, "m", "comment", "comment for the history")
	return c
}

func newGet() *subcommand {
	f := &operatorFlags{}
	keys := false
	c := f.subcommand("get", "prints the newest configuration", "  guavagauge get > fleet.toml",
		func(env environment, client *operator.Client) (err error) {
			reply, err := client.Config(env.ctx, keys)
			if err != nil {
				return err
			}
			fmt.Fprintf(env.stderr, "revision %d\n", reply.Revision)
			fmt.Fprint(env.stdout, reply.Text)
			return nil
		})
	c.flags.Bool(&keys, "k", "keys", "also print the keys, with their hashes")
	return c
}

func newHistory() *subcommand {
	f := &operatorFlags{}
	limit := 20
	c := f.subcommand("history", "lists the newest revisions", "  guavagauge history --limit 5",
		func(env environment, client *operator.Client) (err error) {
			if limit < 1 {
				return usageError("--limit %d: want 1 or more", limit)
			}
			reply, err := client.History(env.ctx, limit)
			if err != nil {
				return err
			}
			for _, r := range reply.Revisions {
				fmt.Fprintf(env.stdout, "%-6d %s  %-12s %s (%d changed, %d deleted)\n",
					r.Revision, r.Time.UTC().Format(timeLayout), r.Author, r.Comment, len(r.Changed), len(r.Deleted))
			}
			return nil
		})
	c.flags.Int(&limit, "l", "limit", "number of revisions")
	return c
}

func newRollback() *subcommand {
	f := &operatorFlags{}
	revision := ""
	c := f.subcommand("rollback", "makes a new revision with the objects of an older one",
		"  guavagauge rollback 41\n\nThe current keys are kept, so that no withdrawn key is restored.",
		func(env environment, client *operator.Client) (err error) {
			to, err := strconv.ParseUint(revision, 10, 63)
			if err != nil || to == 0 {
				return usageError("REVISION %q: want a number, as in guavagauge history", revision)
			}
			reply, err := client.Rollback(env.ctx, operator.RollbackRequest{To: to, Author: f.author})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.AddPositionalValue(&revision, "REVISION", 1, true, "revision to return to")
	return c
}

func newLabel() *subcommand {
	f := &operatorFlags{}
	kind, object, label := "", "", ""
	c := f.subcommand("label", "sets or removes a label of an object",
		"  guavagauge label upstream north/engine-1 pool=rulings\n  guavagauge label workspace south/beta tier=",
		func(env environment, client *operator.Client) (err error) {
			owner, name, ok := strings.Cut(object, "/")
			key, value, set := strings.Cut(label, "=")
			if !ok || !set {
				return usageError("want KIND OWNER/NAME KEY=VALUE, such as: upstream north/engine-1 pool=rulings")
			}
			reply, err := client.Label(env.ctx, operator.LabelRequest{
				Kind: kind, Owner: owner, Name: name, Key: key, Value: value, Author: f.author,
			})
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.AddPositionalValue(&kind, "KIND", 1, true, "owner, upstream, workspace, route, service, model or rule")
	c.flags.AddPositionalValue(&object, "OWNER/NAME", 2, true, "owner and name of the object")
	c.flags.AddPositionalValue(&label, "KEY=VALUE", 3, true, "the label; an empty value removes it")
	return c
}

func newKey() *subcommand {
	c := newSubcommand("key", "issues, withdraws and lists the keys of workspaces",
		"  guavagauge key issue --owner north --workspace alpha\n  guavagauge key withdraw --owner north --name alpha-2026\n"+
			"  guavagauge key list", nil)
	c.subcommands = []*subcommand{newKeyIssue(), newKeyWithdraw(), newKeyList()}
	return c
}

func newKeyIssue() *subcommand {
	f := &operatorFlags{}
	request := &operator.KeyRequest{}
	c := f.subcommand("issue", "makes a new key and prints its secret, which isn't stored",
		"  guavagauge key issue --owner north --workspace alpha --name alpha-2026",
		func(env environment, client *operator.Client) (err error) {
			request.Author = f.author
			reply, err := client.IssueKey(env.ctx, *request)
			if err != nil {
				return err
			}
			fmt.Fprintln(env.stdout, reply.Secret)
			return f.awaitInForce(env, client, reply.Revision)
		})
	c.flags.String(&request.Owner, "o", "owner", "owner of the workspace")
	c.flags.String(&request.Workspace, "w", "workspace", "name of the workspace")
	c.flags.String(&request.Name, "k", "name", "name of the key; a random one by default")
	return c
}

func newKeyWithdraw() *subcommand {
	f := &operatorFlags{}
	request := &operator.KeyRequest{}
	c := f.subcommand("withdraw", "makes a key invalid and waits until all nodes refuse it",
		"  guavagauge key withdraw --owner north --name alpha-2026",
		func(env environment, client *operator.Client) (err error) {
			request.Author = f.author
			reply, err := client.WithdrawKey(env.ctx, *request)
			if err != nil {
				return err
			}
			return f.report(env, client, reply, false)
		})
	c.flags.String(&request.Owner, "o", "owner", "owner of the key")
	c.flags.String(&request.Name, "k", "name", "name of the key")
	return c
}

func newKeyList() *subcommand {
	f := &operatorFlags{}
	return f.subcommand("list", "lists all keys without their secrets", "  guavagauge key list",
		func(env environment, client *operator.Client) (err error) {
			reply, err := client.Keys(env.ctx)
			if err != nil {
				return err
			}
			for _, key := range reply.Keys {
				fmt.Fprintf(env.stdout, "%-32s workspace %s\n", key.Owner+"/"+key.Name, key.Workspace)
			}
			return nil
		})
}

// subcommand returns a command that calls a running node. It sets the defaults of
// the flags and adds them to the command.
func (f *operatorFlags) subcommand(name, description, examples string, run func(env environment, client *operator.Client) (err error)) *subcommand {
	f.address, f.wait, f.author = defaultOperatorAddress, defaultWait, currentUser()
	c := newSubcommand(name, description, examples+"\n\nThe operators' credential is read from "+credentialVariable+".",
		func(env environment) (err error) {
			address, err := netip.ParseAddrPort(f.address)
			if err != nil {
				return usageError("--operator %s: want an IP address and a port, such as %s", f.address, defaultOperatorAddress)
			}
			credential := os.Getenv(credentialVariable)
			if credential == "" {
				return usageError("set %s to the operators' credential", credentialVariable)
			}
			client := operator.NewClient(transport.TCP{}, address, credential)
			if f.tlsCA != "" {
				if err := useTLS(client, f.tlsCA); err != nil {
					return err
				}
			}
			return run(env, client)
		})
	c.flags.String(&f.address, "a", "operator", "address of the operator listener of any node")
	c.flags.String(&f.tlsCA, "ca", "tls-ca", "connect with TLS and trust the certificate authorities in this PEM file")
	c.flags.String(&f.author, "u", "author", "author in the history")
	c.flags.Duration(&f.wait, "t", "wait", "how long to wait until a change is in force on all nodes")
	return c
}

// report prints the changes and waits until they are in force, unless there are
// none or it was a dry run.
func (f *operatorFlags) report(env environment, client *operator.Client, reply operator.ApplyReply, dryRun bool) (err error) {
	for _, change := range reply.Changes {
		fmt.Fprintln(env.stdout, change)
	}
	switch {
	case len(reply.Changes) == 0:
		fmt.Fprintf(env.stdout, "no difference from revision %d\n", reply.Revision)
		return nil
	case dryRun:
		fmt.Fprintf(env.stdout, "dry run: revision %d stays in force\n", reply.Revision)
		return nil
	}
	return f.awaitInForce(env, client, reply.Revision)
}

// awaitInForce waits until a revision is in force on all live nodes, and prints
// on how many it is and which nodes rejected it. It returns an error that lists
// the others, and why the last call failed if it did. The change stays accepted
// in any case.
func (f *operatorFlags) awaitInForce(env environment, client *operator.Client, revision uint64) (err error) {
	fmt.Fprintf(env.stderr, "revision %d accepted\n", revision)
	ctx, cancel := context.WithTimeout(env.ctx, f.wait)
	defer cancel()
	reply, err := client.AwaitInForce(ctx, revision)
	missing := append(reply.Behind, reply.Unreached...)
	if err != nil && len(missing) == 0 {
		return errors.Annotatef(err, "revision %d is accepted, but no node reported whether it is in force", revision)
	}
	fmt.Fprintf(env.stderr, "revision %d in force on %d of %d nodes\n", revision, len(reply.Have), len(reply.Have)+len(missing))
	if len(reply.Removed) > 0 {
		fmt.Fprintf(env.stderr, "no longer live; a node that is only cut off refuses requests with an API key: %s\n", strings.Join(reply.Removed, ", "))
	}
	if len(reply.Rejected) > 0 {
		fmt.Fprintf(env.stderr, "rejected by: %s\n", strings.Join(reply.Rejected, ", "))
	}
	return errors.Annotatef(err, "not yet in force on: %s", strings.Join(missing, ", "))
}

// useTLS makes the client connect with TLS and accept only certificates of the
// authorities in a PEM file.
func useTLS(client *operator.Client, file string) (err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.Errorf("--tls-ca %s: the file contains no PEM certificate", file)
	}
	client.UseTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool})
	return nil
}

func currentUser() (name string) {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
