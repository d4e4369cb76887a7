// Package overload tests that a VM survives clients that hold connections, bodies and header sections without completing them. Its tests
// run the VM as a process of its own, with small limits of memory and descriptors.
package overload
