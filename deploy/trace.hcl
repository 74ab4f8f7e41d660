# Traces of this balancer's requests and decisions: docs/operate/trace.md
trace {
  folder      = "traces"
  most_bytes  = "1GB"
  longest_age = "14d"
}
