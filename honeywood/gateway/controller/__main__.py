from honeywood.system.lean import run

run("honeywood.gateway.controller.program", "Bourse")
