// Package clienttest tests an entry node against clients that don't keep to the
// limits. It has only tests: they build the program, run one node as a process of
// its own beside stand-ins of the store and of an upstream, and open connections
// that misbehave. docs/design/untrusted-clients.md has the results.
//
// # Usage
//
//	go test ./clienttest
//
// plays each traffic pattern with the connections and limits of CI.
//
//	go test ./clienttest -run TestMisbehavingClients -v -crowd 2500 -memory 144 -descriptors 3075
//
// plays each pattern with 2,500 connections against a node of 144 MB, and prints a
// table of the results.
package clienttest
